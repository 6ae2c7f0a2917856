"""Which tries are of one op: what they have in common, and what that proves here and now.

Callers are stubs with thousands of clients behind each, so two ops may look the same to the last byte of their bodies.
A likeness that was seen on two ops at once, or again after an ack, is shared and proves nothing from then on; then the
finer one decides, by the figures that belong to one client's op. `docs/design/lookalikes.md` has the table.
"""

from __future__ import annotations

import math
import struct
from collections import Counter
from collections.abc import Callable, Hashable
from typing import NamedTuple

from mulleinhatch.instance.retry_storms.request_log import Lately, fingerprint

SPAN = 10.0  # seconds in which a nacked op is known again; twice that at most
RUN_SPAN = 30.0  # and one that ran, when its answer may not have arrived
STEADY_FOR, STEADY_ENOUGH = 5.0, 64  # seconds and retries, all with the figures of a try before, until figures tell
IN_TIME = 0.25  # seconds before its time that an answer must leave to have found its caller waiting


class Likeness(NamedTuple):
    """16 bytes of caller, op type, tenant, key and body; and those with rank, cost (seconds) and memory (KB)."""

    plain: bytes
    fine: bytes


def likeness(caller: int, op_type: str, tenant: str, key: str, body: bytes, rank: float, work: float, kb: float) -> Likeness:
    plain = fingerprint(caller, op_type, tenant, key, body)
    return Likeness(plain, finer(plain, rank, work, kb))


def finer(plain: bytes, rank: float, work: float, kb: float) -> bytes:
    return plain + struct.pack("<3d", rank, work, kb)


class Tally:
    """How often each was seen in the last one to two spans and not taken back; at most `room` in each of two generations.

    >>> tally = Tally(span=5.0, room=2); tally.add(0.0, "a"); tally.add(4.0, "a")
    >>> tally.take(6.0, "a"), tally.has(6.0, "a"), tally.take(6.0, "a"), tally.take(6.0, "a")
    (True, True, True, False)
    """

    def __init__(self, span: float, room: int) -> None:
        self.span, self.room, self.turned = span, room, 0.0
        self.new: Counter[Hashable] = Counter()
        self.old: Counter[Hashable] = Counter()

    def _turn(self, now: float) -> None:
        if now - self.turned >= self.span:
            self.old = self.new if now - self.turned < 2.0 * self.span else Counter()
            self.new, self.turned = Counter(), now

    def add(self, now: float, what: Hashable) -> None:
        self._turn(now)
        if len(self.new) >= self.room and what not in self.new:
            self.old, self.new, self.turned = self.new, Counter(), now
        self.new[what] += 1

    def take(self, now: float, what: Hashable) -> bool:
        """One less, of the older ones first; whether there was one."""
        self._turn(now)
        for counts in (self.old, self.new):
            if count := counts.get(what):
                if count > 1:
                    counts[what] = count - 1
                else:
                    del counts[what]
                return True
        return False

    def has(self, now: float, what: Hashable) -> bool:
        self._turn(now)
        return what in self.new or what in self.old

    def __len__(self) -> int:
        return len(self.new) + len(self.old)


class Tries:
    """Told of each try that is read in full, answered or lost; says whether an unmarked one repeats a nacked one.

    As many repeats of a likeness are known as nacks of it are outstanding, so an op that was acked since is no repeat.
    What `read` gives beside are the op's looks, by which all that becomes of it is told: the finer ones are kept only
    where they are needed.

    >>> tries, one = Tries(room=100), Likeness(b"p", b"p1")
    >>> repeat, looks = tries.read(0.0, one, again=False); tries.closed(looks); tries.nacked(0.1, looks); repeat, looks
    (False, (b'p',))
    >>> repeat, looks = tries.read(0.2, one, again=False); tries.closed(looks); tries.acked(0.3, looks); repeat
    True
    >>> tries.read(0.4, one, again=False), tries.counts["likenesses_shared"]
    ((False, (b'p', b'p1')), 1)
    """

    def __init__(self, room: int) -> None:
        self.open: Counter[bytes] = Counter()
        self.outstanding = Tally(SPAN, room)
        self.done, self.shared = Lately(SPAN, room), Lately(SPAN, room)
        self.counts: Counter[str] = Counter()
        self.steady = 0  # marked retries in a row that came with the figures of a try before
        self.unsteady_at = -math.inf  # when one came with others

    def read(self, now: float, like: Likeness, again: bool, watched: bool = False) -> tuple[bool, tuple[bytes, ...]]:
        """Whether it is a repeat, marked or not. `watched` ones, of op types that may not run twice, tell whether the
        figures of an op stay over its tries."""
        if not again:
            self._compare(now, like.plain)
        shared = self.shared.seen(now, like.plain)
        if shared and not again:
            self._compare(now, like.fine)
        proves = like.plain if not shared else None if self.shared.seen(now, like.fine) else like.fine
        known = proves is not None and self.outstanding.has(now, proves)
        looks = (like.plain, like.fine) if shared or watched else (like.plain,)
        plain, *fine = (self.outstanding.take(now, what) for what in looks)
        if again and watched and plain:
            self._figures(now, fine[0])
        for what in looks:
            self.open[what] += 1
        return again or known, looks

    def _compare(self, now: float, what: bytes) -> None:
        """A first try that looks like one which waits here, or was acked, is another op with the same looks. So is a
        second copy that nobody marked: then it counts as a first try, and does no other harm."""
        if what in self.open or self.done.seen(now, what):
            self.counts["likenesses_shared"] += not self.shared.seen(now, what)
            self.shared.add(now, what)

    def known(self, now: float, plain: bytes, fine: Callable[[], bytes]) -> bool:
        """Whether an unmarked try that was not read in full yet repeats a nacked one for certain. One that looks like
        what waits here or was acked must be read, and compared."""
        what = fine() if self.shared.seen(now, plain) else plain
        return (
            self.outstanding.has(now, what)
            and what not in self.open
            and not self.done.seen(now, what)
            and not self.shared.seen(now, what)
        )

    def turned_back(self, now: float, plain: bytes, fine: Callable[[], bytes], again: bool) -> None:
        """Nacked before it was read in full, perhaps once more: it stays known for as long as it keeps coming. Of a marked
        one nothing needs to be known, but whether its figures stay, where looks are shared."""
        shared = self.shared.seen(now, plain)
        if again and not shared:
            return
        were = []
        for what in (plain, fine()) if shared else (plain,):
            were.append(self.outstanding.take(now, what))
            self.outstanding.add(now, what)
        if again and were[0]:
            self._figures(now, were[1])

    def nacked(self, now: float, looks: tuple[bytes, ...]) -> None:
        for what in looks:
            self.outstanding.add(now, what)

    def acked(self, now: float, looks: tuple[bytes, ...]) -> None:
        for what in looks:
            self.done.add(now, what)

    def closed(self, looks: tuple[bytes, ...]) -> None:
        """It waits for nothing any more: answered, or its caller is gone."""
        for what in looks:
            if self.open[what] > 1:
                self.open[what] -= 1
            else:
                del self.open[what]

    def _figures(self, now: float, same: bool) -> None:
        """Of a retry whose looks were nacked before. One whose first try another instance had looks changed, too: after a
        start figures tell nothing for a while."""
        self.steady += 1
        if not same:
            self.steady, self.unsteady_at = 0, now

    def figures_stay(self, now: float) -> bool:
        return self.steady >= STEADY_ENOUGH and now - self.unsteady_at >= STEADY_FOR


class Run(NamedTuple):
    like: Likeness
    due: float  # until when its caller waits


class Runs:
    """Runs of ops that may not run twice, while a retry of them is still possible: until the answer is known to have
    been read, or for one to two spans. Bounded: at most `room` in each of two generations.

    >>> runs, one = Runs(100), Likeness(b"p", b"p1")
    >>> runs.started(0.0, "r1", one, due=4.5); runs.doubt(0.1, one, False), runs.doubt(0.1, Likeness(b"p", b"p2"), True)
    (True, False)
    >>> runs.acked(0.2, "r1", place=7); runs.doubt(0.3, one, False); runs.asks_again(7); runs.doubt(0.3, one, False)
    True
    False
    """

    def __init__(self, room: int) -> None:
        self.room, self.turned = room, 0.0
        self.new: dict[str, Run] = {}
        self.old: dict[str, Run] = {}
        self.by_plain: dict[bytes, dict[str, bytes]] = {}  # and there by id: the fine likeness
        self.answers: dict[int, str] = {}  # by connection: the run whose ack was the last word on it

    def _turn(self, now: float) -> None:
        if now - self.turned >= RUN_SPAN or len(self.new) >= self.room:
            gone = self.old if now - self.turned < 2.0 * RUN_SPAN else {**self.old, **self.new}
            kept = self.new if gone is self.old else {}
            for ref, run in gone.items():
                self._forget(ref, run)
            self.old, self.new, self.turned = kept, {}, now
            self.answers = {place: ref for place, ref in self.answers.items() if ref in self.old}

    def _forget(self, ref: str, run: Run) -> None:
        alike = self.by_plain[run.like.plain]
        del alike[ref]
        if not alike:
            del self.by_plain[run.like.plain]

    def started(self, now: float, ref: str, like: Likeness, due: float) -> None:
        self._turn(now)
        self.new[ref] = Run(like, due)
        self.by_plain.setdefault(like.plain, {})[ref] = like.fine

    def settled(self, ref: str) -> None:
        """Nothing ran, or its caller has the answer: no retry of it can come."""
        for runs in (self.new, self.old):
            if run := runs.pop(ref, None):
                self._forget(ref, run)

    def acked(self, now: float, ref: str, place: int) -> None:
        """The answer was written. One that left at the last moment may have found nobody."""
        run = self.new.get(ref) or self.old.get(ref)
        if run and now <= run.due - IN_TIME:
            self.answers[place] = ref

    def asks_again(self, place: int) -> None:
        """The next request on a connection: its caller has read the answer before."""
        if ref := self.answers.pop(place, None):
            self.settled(ref)

    def doubt(self, now: float, like: Likeness, figures_stay: bool) -> bool:
        """Whether this marked retry may be of an op that ran."""
        self._turn(now)
        alike = self.by_plain.get(like.plain)
        return bool(alike) and (not figures_stay or like.fine in alike.values())

    def __len__(self) -> int:
        return len(self.new) + len(self.old)
