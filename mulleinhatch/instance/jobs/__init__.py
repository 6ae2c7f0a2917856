"""Background jobs within budgets: which job runs when, and which wait while the service is under load.

Subsystems submit jobs made of small steps; a runner in the program executes the steps. The package performs no work itself.
"""
