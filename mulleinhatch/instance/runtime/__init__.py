"""The program round the module: what it is told at start, how its parts join, what it says of itself."""
