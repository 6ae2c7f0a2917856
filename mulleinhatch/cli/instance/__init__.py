"""The command line, a file for each sub-command; `mulleinhatch/__main__.py` has the text that all are called by.

Each has `run(told)`, given what docopt read, and gives the exit status. Only the one that is called is imported.
"""
