"""The records of a trace and the columns of each. A kind is only ever added, under a new minor version.

Codecs of columns: `op` a number of an op, told as the distance from the newest; `ref` an id as the wire gives it; `text`
from the block's string table; `whole` a whole number of 0 or more; `number` an exact float; `numbers` several of them.
"""

from __future__ import annotations

from typing import Any, NamedTuple

MAJORS = (1, 2)  # that are read; 2 adds the cause of a decision
MINOR = 2  # 1 adds what a fleet told, 2 what peers have room for and what was handed over


class Kind(NamedTuple):
    code: int
    name: str
    columns: tuple[tuple[str, str], ...]
    since: int = 1  # major version


class Record(NamedTuple):
    """Time in seconds on the instance's own clock; values in the order of the kind's columns."""

    kind: Kind
    time: float
    values: tuple[Any, ...]

    def named(self) -> dict[str, Any]:
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
PULLED = Kind(11, "pulled", ())  # the host asked for decisions, and there was none left
DECIDED = Kind(12, "decided", (("verb", "whole"), ("op", "op"), ("seconds", "number"), ("flag", "whole"), ("level", "number")))
# The same with its cause; a file of major 1 has the one before.
DECIDED_FOR = Kind(13, "decided for", (*DECIDED.columns, ("cause", "text")), since=2)
NOTE = Kind(14, "note", (("what", "text"), ("detail", "text")))  # connections, reloads, counters: for people
GAP = Kind(15, "gap", (("records", "whole"), ("until", "number")))  # blocks that the disk was too slow for
NODE = Kind(16, "node", (("node", "whole"),), since=2)  # in a merged file: whose the records that follow are
PART = Kind(17, "part", (("tenant", "whole"), ("window", "number"), ("pieces", "numbers")))  # units and end, in turn
CALLS = Kind(18, "calls", (("share", "number"),))
OTHERS = Kind(19, "others", (("room", "number"), ("ill", "whole"), ("hear_most", "number"), ("shut", "number")))
OFFERS = Kind(20, "offers", (("count", "whole"),))
HANDED = Kind(21, "came handed", (("op", "op"),))
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
