"""Base classes of every error that the project raises, one per concern.

A concrete error lives in the module that raises it and derives from the class of its concern. Where callers already catch a
built-in exception (``ValueError`` for bad input, ``OSError`` for failed I/O), the concrete error derives from that one too::

    class CorruptTraceError(StorageError, ValueError): ...

Each message says what went wrong and, where the reader can act on it, what to do.
"""


class MulleinhatchError(Exception):
    """Base class of every error that the project raises itself."""


class ConfigurationError(MulleinhatchError, ValueError):
    """A configuration, settings file or order is not valid: correct the document and send it again."""


class StorageError(MulleinhatchError):
    """A file cannot be read or written as the format requires."""


class ReplicationError(MulleinhatchError):
    """A replicated operation cannot complete: the log or the chain of replicas does not allow it now."""


class LeadershipError(MulleinhatchError):
    """This node does not hold the leader lease that the operation requires: ask the current leader."""


class MessageError(MulleinhatchError, ValueError):
    """A message or frame from a peer, client or backend cannot be parsed."""


class CallError(MulleinhatchError, OSError):
    """A call to another process failed, or its outcome is unknown."""
