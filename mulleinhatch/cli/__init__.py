"""Command lines: one package for each program, one module for each sub-command.

Called by people and by the deploy files; a sub-command parses its arguments and calls the packages that do the work.
"""
