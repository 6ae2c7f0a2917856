"""Compares texts of the system by paired plays: the same days and seeds, each text; means, spread and the sign of each pair."""
