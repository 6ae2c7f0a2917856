"""Provide the system's command line: `python -m mulleinhatch.console COMMAND`.

It is for operators and for trying the system on one machine. It calls running processes and keeps no state.
"""
