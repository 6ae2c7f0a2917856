"""Trace files: the exact inputs and decisions of an instance's admission controller, for reading, filtering,
summarising and replaying.

The request state machine's recorder fills batches, a thread writes them as blocks, and `mulleinhatch trace` reads them. Tracing
makes no decisions, never waits for a disk on the path of a request, and stores no request bodies.
"""
