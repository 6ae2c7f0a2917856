"""Bytes to typed messages and back, without I/O: HTTP of clients and peers, lines of the interpreter link, directory
reports."""
