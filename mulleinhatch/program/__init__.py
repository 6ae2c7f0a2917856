"""The program round the module: what it is told at start, how its parts are joined, what it says of itself."""
