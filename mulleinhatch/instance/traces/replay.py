"""A trace fed to a fresh module: the same text decides the same, and another tells what it would have decided.

Same text, same decisions, to the last: that is the proof that a trace holds all that the module heard.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Advice, Decision, Deployment, Effect, StopMode, Verb
from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.kinds import Record
from mulleinhatch.instance.traces.recorder import BY_PLACE

WORDS = {kind.value: kind for family in (Effect, Advice, StopMode) for kind in family}
NAMED = ("effect", "stop_mode", "advice")


def told_out(deployment: Deployment) -> dict[str, Any]:
    """A deployment's facts as plain values; `told_in` turns them back.

    >>> told_in(told_out({"op_types": [{"effect": Effect.KEYED}], "advice": Advice.FLOOR, "cores": 2}))
    {'op_types': [{'effect': <Effect.KEYED: 'keyed'>}], 'advice': <Advice.FLOOR: 'floor'>, 'cores': 2}
    """
    plain = {name: value.value if name in NAMED and value is not None else value for name, value in deployment.items()}
    if "op_types" in plain:
        plain["op_types"] = [told_out(op_type) for op_type in plain["op_types"]]
    return plain


def told_in(plain: dict[str, Any]) -> Deployment:
    told = {name: WORDS[value] if name in NAMED and value is not None else value for name, value in plain.items()}
    if "op_types" in told:
        told["op_types"] = [told_in(op_type) for op_type in told["op_types"]]
    return told


class Said(NamedTuple):
    """A decision as a trace has it, comparable whatever text it comes from."""

    verb: str
    op: int
    seconds: float
    flag: bool
    level: float
    cause: str = ""

    def __str__(self) -> str:
        more = [
            word
            for word, there in (
                (self.cause, self.cause),
                (f"{self.seconds:.3f} s", self.seconds),
                (f"level {self.level:.4f}", self.level),
            )
            if there
        ]
        return " ".join([self.verb, f"op {self.op}" if self.op else "", *more, "flag" if self.flag else ""]).strip()


class Difference(NamedTuple):
    time: float
    pull: int  # how many times decisions had been asked for
    recorded: list[Said]
    replayed: list[Said]


class Outcome(NamedTuple):
    pulls: int
    decisions: int
    differences: int
    first: Difference | None
    recorded: Counter[str]  # by verb
    replayed: Counter[str]


class IncompleteTraceError(ValueError):
    """The trace does not begin with the start of an instance, or lacks a part: nothing after that can be replayed."""


class Player:
    """Tells a module what a trace says that it heard."""

    def __init__(self, make: Callable[[Deployment, int, float], Any], facts: Any) -> None:
        self.make, self.facts, self.hatch = make, facts, None
        self.refs: dict[int, str] = {0: ""}
        self.numbers: dict[Any, int] = {}

    def tell(self, record: Record) -> None:
        kind, now, values = record
        if kind is kinds.NODE:
            raise IncompleteTraceError("a merged file is of several modules: replay the files it was made of")
        if kind is kinds.GAP:
            raise IncompleteTraceError(f"{values[0]} records are missing at {now:.3f}: the disk was too slow for them")
        if kind is kinds.START:
            cold, since = values
            deployment = {**told_in(self.facts.deployment), "fresh_start": bool(cold)}
            self.hatch = self.make(deployment, self.facts.seed, now - since)
        elif self.hatch is None:
            raise IncompleteTraceError("the trace begins after the start of its instance: replay its first file, uncut")
        elif kind is kinds.READ:
            op, ref, op_type, age, wait, tenant, repeat_of, caller, work, kb, again = values
            self.refs[op], self.numbers[ref] = ref, op
            self.hatch.record_arrival(
                now, ref, op_type, age, wait, tenant, self.refs.get(repeat_of, ""), caller, work, kb, bool(again)
            )
        elif kind is kinds.RUN_ENDED:
            self.hatch.record_run_end(now, self._ref(values[0]), values[1])
        elif kind is kinds.CALL_WANTED:
            self.hatch.record_call_request(now, self._ref(values[0]))
        elif kind is kinds.CALL_ENDED:
            self.hatch.record_call_end(now, self._ref(values[0]), values[1])
        elif kind is kinds.ABANDONED:
            self.hatch.record_abandonment(now, self._ref(values[0]))
        elif kind is kinds.LEAVE:
            self.hatch.begin_drain(now, values[0])
        elif kind is kinds.WOKEN:
            self.hatch.handle_wakeup(now, values[0], list(values[1]))
        elif kind is kinds.STORM:
            self.hatch.set_retry_storm(now, bool(values[0]), values[1])
        elif kind is kinds.TURNED_BACK:
            self.hatch.record_early_rejections(now, values[0])
        elif kind is kinds.PART:
            self.hatch.set_tenant_budget(now, values[0], values[1], list(zip(values[2][::2], values[2][1::2])))
        elif kind is kinds.CALLS:
            self.hatch.set_dependency_share(now, values[0])
        elif kind is kinds.OTHERS:
            room, ill, hear_most, shut = values
            self.hatch.update_peer_load(now, room, bool(ill), hear_most, shut)
        elif kind is kinds.OFFERS:
            self.hatch.set_peer_offers(now, values[0])
        elif kind is kinds.HANDED:
            self.hatch.mark_received_from_peer(now, self._ref(values[0]))
        elif kind is kinds.HAND_ENDED:
            self.hatch.record_handover_end(now, self._ref(values[0]), values[1])

    def _ref(self, op: int) -> str:
        return self.refs.get(op, "")

    def pull(self, now: float) -> list[Said]:
        return [self._said(decision) for decision in iter(lambda: self.hatch.next_decision(now), None)]

    def _said(self, decision: Decision) -> Said:
        wake = decision.verb is Verb.WAKE
        return Said(
            decision.verb.value,
            0 if wake else self.numbers.get(decision.ref, 0),
            decision.seconds,
            bool(decision.flag),
            float(decision.ref) if wake else decision.level,
            getattr(decision, "cause", ""),
        )


def said(record: Record) -> Said:
    verb, op, seconds, flag, level, *cause = record.values
    known = BY_PLACE.get(verb)
    return Said(known.value if known else f"verb {verb}", op, seconds, bool(flag), level, cause[0] if cause else "")


def pulls(records: Iterable[Record], player: Player) -> Iterator[tuple[float, list[Said], list[Said]]]:
    """For each time that decisions were asked for: when, what was decided, and what the player's module decides."""
    recorded: list[Said] = []
    for record in records:
        if record.kind is kinds.DECIDED or record.kind is kinds.DECIDED_FOR:
            recorded.append(said(record))
        elif record.kind is kinds.PULLED:
            yield record.time, recorded, player.pull(record.time)
            recorded = []
        else:
            player.tell(record)


def replay(
    records: Iterable[Record],
    facts: Any,
    make: Callable[[Deployment, int, float], Any] = AdmissionController,
    to_the_end: bool = False,
) -> Outcome:
    """Compares pull by pull; with `to_the_end` it goes on behind the first difference, where what is told is still what
    happened, not what would have followed."""
    count = decisions = differences = 0
    first: Difference | None = None
    recorded_all: Counter[str] = Counter()
    replayed_all: Counter[str] = Counter()
    for time, recorded, replayed in pulls(records, Player(make, facts)):
        count += 1
        decisions += len(recorded)
        recorded_all.update(one.verb for one in recorded)
        replayed_all.update(one.verb for one in replayed)
        if recorded != replayed:
            differences += 1
            first = first or Difference(time, count, recorded, replayed)
            if not to_the_end:
                break
    return Outcome(count, decisions, differences, first, recorded_all, replayed_all)
