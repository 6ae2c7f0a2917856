"""Generated days (fault scenarios) for a deployment's bench: the worst cases of users, and a matrix of all kinds of faults.

`python -m benchmarks.days` writes and runs them; the paths of the site file and of the bench are its arguments. It is
independent of the deployment: all names come from the site file.
"""
