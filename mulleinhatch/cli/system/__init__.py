"""The command line of the system, by fire: `python -m mulleinhatch.console COMMAND`.

For operators and for a first look on one machine; it talks to running instances and decides nothing.
"""
