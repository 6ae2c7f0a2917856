"""Days of our own for a deployment's bench: one for each of the users' worst days, and a matrix of every kind of trouble.

`python -m benchmarks.days` writes and plays them; the paths of the site file and of the bench are its arguments. It knows no
deployment: what it names comes from the site file.
"""
