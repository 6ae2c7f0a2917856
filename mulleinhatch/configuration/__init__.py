"""The operator's configuration: read, checked, changed item by item, and the route table that it makes.

Called by both planes; pure. It never guesses: what can't be read whole is refused with the remedy.
"""
