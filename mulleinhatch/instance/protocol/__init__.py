"""Bytes to fields and back, no I/O: heads of requests and answers, lines of the link, reports."""
