"""Provide the system's command line: `python -m mulleinhatch.console COMMAND`.

For operators, and for trials of the system on one machine. It calls running processes and keeps no state.
"""
