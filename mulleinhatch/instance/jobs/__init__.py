"""Background work within budgets: what runs when, and what waits while the service is pressed.

Subsystems submit jobs made of small steps, a runner in the program carries the steps out. It never does any work itself.
"""
