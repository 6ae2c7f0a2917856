"""Compares source variants in paired runs: each runs the same days with the same seeds; means, spread, signs of the pairs."""
