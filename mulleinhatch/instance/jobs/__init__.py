"""Scheduling of background jobs: which job runs when, within budgets, and which wait while the service is under load.

Subsystems submit jobs that consist of small steps; a runner executes the steps. The package performs no work itself.
"""
