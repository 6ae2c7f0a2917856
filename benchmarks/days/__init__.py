"""Generated days for a deployment's bench: one for each of the users' worst days, and a matrix of every kind of fault.

`python -m benchmarks.days` writes and runs them; the paths of the site file and of the bench are its arguments. It depends on
no deployment: all names come from the site file.
"""
