"""Trace files: what an instance was told and what it decided, exactly; read, cut, summarised and replayed.

The reducer's recorder fills blocks, a thread writes them, `mulleinhatch trace` reads them. It never decides, never waits
for a disk on an op's path, and keeps no body of any op.
"""
