"""Parsing and serialization without I/O: HTTP of clients and peers, lines of the interpreter link, directory reports."""
