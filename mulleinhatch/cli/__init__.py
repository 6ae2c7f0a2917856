"""Command lines: one package for each program, one module for each sub-command.

Operators and the deploy files call them; a sub-command parses its arguments and calls the packages that do the work.
"""
