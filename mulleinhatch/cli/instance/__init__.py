"""Sub-commands of the command line, one module each; the usage text is in `mulleinhatch/__main__.py`.

Each module defines `run(arguments)`, which takes the arguments parsed by docopt and returns the exit status. Only the module
of the requested sub-command is imported.
"""
