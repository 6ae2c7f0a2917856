"""Record kinds and their columns. Codes never change, and a new kind raises the minor version.

Codecs of columns: `op` is a request number, stored as its distance from the highest one so far; `ref` is a request ID as
received; `text` is an index into the block's string table; `whole` is a non-negative integer; `number` is an exact float;
`numbers` is several of them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

MAJORS = (1, 2)  # readable versions; 2 adds the cause of a decision
MINOR = 2  # 1 adds shared quotas, 2 the capacity of peers and handed-over requests


class Kind(NamedTuple):
    """A kind of record.

    Attributes:
        code: Code in the file.
        name: Name, shown by `mulleinhatch trace`.
        columns: Names and codecs of the values.
        since: First major version with this kind.
    """

    code: int
    name: str
    columns: tuple[tuple[str, str], ...]
    since: int = 1  # major version


class Record(NamedTuple):
    """A record: its kind, the time on the instance's clock in seconds, and the values in the order of the columns."""

    kind: Kind
    time: float
    values: tuple[Any, ...]

    def named(self) -> dict[str, Any]:
        """Return the values by name of their column."""
        return {name: value for (name, _), value in zip(self.kind.columns, self.values)}


START = Kind(1, "start", (("cold", "whole"), ("since", "number")))
READ = Kind(
    2,
    "read",
    (
        ("op", "op"),
        ("ref", "ref"),
        ("op_type", "whole"),
        ("age", "number"),
        ("wait", "number"),
        ("tenant", "whole"),
        ("repeat_of", "whole"),
        ("caller", "whole"),
        ("work", "number"),
        ("kb", "number"),
        ("again", "whole"),
    ),
)
RUN_ENDED = Kind(3, "run ended", (("op", "op"), ("ending", "whole")))
CALL_WANTED = Kind(4, "call wanted", (("op", "op"),))
CALL_ENDED = Kind(5, "call ended", (("op", "op"), ("ending", "whole")))
ABANDONED = Kind(6, "abandoned", (("op", "op"),))
LEAVE = Kind(7, "leave", (("grace", "number"),))
WOKEN = Kind(8, "woken", (("token", "whole"), ("readings", "numbers")))
TURNED_BACK = Kind(9, "turned back", (("count", "whole"),))
STORM = Kind(10, "storm", (("on", "whole"), ("first_tries", "number")))
PULLED = Kind(11, "pulled", ())  # the host took all pending decisions
DECIDED = Kind(12, "decided", (("verb", "whole"), ("op", "op"), ("seconds", "number"), ("flag", "whole"), ("level", "number")))
# A decision with its cause; files of major version 1 have DECIDED.
DECIDED_FOR = Kind(13, "decided for", (*DECIDED.columns, ("cause", "text")), since=2)
NOTE = Kind(14, "note", (("what", "text"), ("detail", "text")))  # connections, reloads, counters: for operators
GAP = Kind(15, "gap", (("records", "whole"), ("until", "number")))  # batches dropped because the disk was too slow
NODE = Kind(16, "node", (("node", "whole"),), since=2)  # in a merged file: the node of the records that follow
# An instance's share of a tenant budget; `pieces` alternates units and end times.
PART = Kind(17, "part", (("tenant", "whole"), ("window", "number"), ("pieces", "numbers")))
# This instance's share of the calls to a shared dependency.
CALLS = Kind(18, "calls", (("share", "number"),))
# Free capacity of the peers, whether they judge this instance unhealthy, its retry allowance, and the share to divert.
OTHERS = Kind(19, "others", (("room", "number"), ("ill", "whole"), ("hear_most", "number"), ("shut", "number")))
OFFERS = Kind(20, "offers", (("count", "whole"),))  # capacity offers from peers
HANDED = Kind(21, "came handed", (("op", "op"),))  # a request handed over by a peer
HAND_ENDED = Kind(22, "hand ended", (("op", "op"), ("ending", "whole")))

KINDS = {
    kind.code: kind
    for kind in (
        START,
        READ,
        RUN_ENDED,
        CALL_WANTED,
        CALL_ENDED,
        ABANDONED,
        LEAVE,
        WOKEN,
        TURNED_BACK,
        STORM,
        PULLED,
        DECIDED,
        DECIDED_FOR,
        NOTE,
        GAP,
        NODE,
        PART,
        CALLS,
        OTHERS,
        OFFERS,
        HANDED,
        HAND_ENDED,
    )
}
BY_NAME = {kind.name: kind for kind in KINDS.values()}
