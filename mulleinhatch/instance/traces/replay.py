"""Replays a trace on a new admission controller and compares the decisions.

The same source must make exactly the same decisions, which proves that a trace holds all inputs of the controller. A
different source shows what it would have decided.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Advice, Decision, Deployment, Effect, StopMode, Verb
from mulleinhatch.instance.traces import kinds
from mulleinhatch.instance.traces.kinds import Record
from mulleinhatch.instance.traces.recorder import VERB_BY_CODE

ENUM_BY_VALUE = {kind.value: kind for family in (Effect, Advice, StopMode) for kind in family}
ENUM_FIELDS = ("effect", "stop_mode", "advice")


def deployment_to_dict(deployment: Deployment) -> dict[str, Any]:
    """Return a deployment as plain values; `deployment_from_dict` is the inverse.

    >>> deployment_from_dict(deployment_to_dict({"op_types": [{"effect": Effect.KEYED}], "advice": Advice.FLOOR, "cores": 2}))
    {'op_types': [{'effect': <Effect.KEYED: 'keyed'>}], 'advice': <Advice.FLOOR: 'floor'>, 'cores': 2}
    """
    plain = {name: value.value if name in ENUM_FIELDS and value is not None else value for name, value in deployment.items()}
    if "op_types" in plain:
        plain["op_types"] = [deployment_to_dict(op_type) for op_type in plain["op_types"]]
    return plain


def deployment_from_dict(plain: dict[str, Any]) -> Deployment:
    """Return a deployment from the plain values of a trace's metadata."""
    deployment = {
        name: ENUM_BY_VALUE[value] if name in ENUM_FIELDS and value is not None else value for name, value in plain.items()
    }
    if "op_types" in deployment:
        deployment["op_types"] = [deployment_from_dict(op_type) for op_type in deployment["op_types"]]
    return deployment


class DecisionRecord(NamedTuple):
    """A decision in a form that is comparable between versions of the controller's source."""

    verb: str
    request: int
    seconds: float
    flag: bool
    level: float
    cause: str = ""

    def __str__(self) -> str:
        more = [
            part
            for part, is_present in (
                (self.cause, self.cause),
                (f"{self.seconds:.3f} s", self.seconds),
                (f"level {self.level:.4f}", self.level),
            )
            if is_present
        ]
        return " ".join([self.verb, f"op {self.request}" if self.request else "", *more, "flag" if self.flag else ""]).strip()


class Difference(NamedTuple):
    """The first difference: its time, the number of pulls so far, and the decisions on both sides."""

    time: float
    pull: int
    recorded: list[DecisionRecord]
    replayed: list[DecisionRecord]


class Outcome(NamedTuple):
    """Result of a replay. A pull takes all pending decisions at one time."""

    pulls: int
    decisions: int
    differences: int
    first: Difference | None
    recorded: Counter[str]  # by verb
    replayed: Counter[str]


class IncompleteTraceError(ValueError):
    """Raised for a trace without the start of its instance or with a gap: nothing after it can be replayed."""


class Replayer:
    """Passes the recorded inputs to an admission controller.

    Args:
        make: Creates a controller from deployment, seed and start time.
        metadata: Metadata of the trace.
    """

    def __init__(self, make: Callable[[Deployment, int, float], Any], metadata: Any) -> None:
        self.make, self.metadata, self.controller = make, metadata, None
        self.refs: dict[int, str] = {0: ""}
        self.numbers: dict[Any, int] = {}

    def apply(self, record: Record) -> None:
        """Pass one recorded input to the controller.

        Raises:
            IncompleteTraceError: The record can't be replayed.
        """
        kind, now, values = record
        if kind is kinds.NODE:
            raise IncompleteTraceError("a merged file holds several instances: replay its source files")
        if kind is kinds.GAP:
            raise IncompleteTraceError(f"{values[0]} records are missing at {now:.3f}: the disk was too slow to write them")
        if kind is kinds.START:
            is_fresh_start, since = values
            deployment = {**deployment_from_dict(self.metadata.deployment), "fresh_start": bool(is_fresh_start)}
            self.controller = self.make(deployment, self.metadata.seed, now - since)
        elif self.controller is None:
            raise IncompleteTraceError("the trace begins after the start of its instance: replay its first file, unfiltered")
        elif kind is kinds.READ:
            request, ref, op_type, age, wait, tenant, repeat_of, caller, work, memory_kb, is_retry = values
            self.refs[request], self.numbers[ref] = ref, request
            self.controller.record_arrival(
                now, ref, op_type, age, wait, tenant, self.refs.get(repeat_of, ""), caller, work, memory_kb, bool(is_retry)
            )
        elif kind is kinds.RUN_ENDED:
            self.controller.record_run_end(now, self._ref(values[0]), values[1])
        elif kind is kinds.CALL_WANTED:
            self.controller.record_call_request(now, self._ref(values[0]))
        elif kind is kinds.CALL_ENDED:
            self.controller.record_call_end(now, self._ref(values[0]), values[1])
        elif kind is kinds.ABANDONED:
            self.controller.record_abandonment(now, self._ref(values[0]))
        elif kind is kinds.LEAVE:
            self.controller.begin_drain(now, values[0])
        elif kind is kinds.WOKEN:
            self.controller.handle_wakeup(now, values[0], list(values[1]))
        elif kind is kinds.STORM:
            self.controller.set_retry_storm(now, bool(values[0]), values[1])
        elif kind is kinds.TURNED_BACK:
            self.controller.record_early_rejections(now, values[0])
        elif kind is kinds.PART:
            self.controller.set_tenant_budget(now, values[0], values[1], list(zip(values[2][::2], values[2][1::2])))
        elif kind is kinds.CALLS:
            self.controller.set_dependency_share(now, values[0])
        elif kind is kinds.OTHERS:
            free_fraction, is_outlier, retry_allowance, diverted = values
            self.controller.update_peer_load(now, free_fraction, bool(is_outlier), retry_allowance, diverted)
        elif kind is kinds.OFFERS:
            self.controller.set_peer_offers(now, values[0])
        elif kind is kinds.HANDED:
            self.controller.mark_received_from_peer(now, self._ref(values[0]))
        elif kind is kinds.HAND_ENDED:
            self.controller.record_handover_end(now, self._ref(values[0]), values[1])

    def _ref(self, request: int) -> str:
        return self.refs.get(request, "")

    def pull_decisions(self, now: float) -> list[DecisionRecord]:
        """Return all pending decisions of the controller."""
        return [self._record_decision(decision) for decision in iter(lambda: self.controller.next_decision(now), None)]

    def _record_decision(self, decision: Decision) -> DecisionRecord:
        wake = decision.verb is Verb.WAKE
        return DecisionRecord(
            decision.verb.value,
            0 if wake else self.numbers.get(decision.ref, 0),
            decision.seconds,
            bool(decision.flag),
            float(decision.ref) if wake else decision.level,
            getattr(decision, "cause", ""),
        )


def decision_record(record: Record) -> DecisionRecord:
    """Return the decision in a record."""
    verb, request, seconds, flag, level, *cause = record.values
    known_verb = VERB_BY_CODE.get(verb)
    return DecisionRecord(
        known_verb.value if known_verb else f"verb {verb}", request, seconds, bool(flag), level, cause[0] if cause else ""
    )


def compare_decisions(
    records: Iterable[Record], replayer: Replayer
) -> Iterator[tuple[float, list[DecisionRecord], list[DecisionRecord]]]:
    """Yield, for each pull, its time, the recorded and the replayed decisions."""
    recorded: list[DecisionRecord] = []
    for record in records:
        if record.kind is kinds.DECIDED or record.kind is kinds.DECIDED_FOR:
            recorded.append(decision_record(record))
        elif record.kind is kinds.PULLED:
            yield record.time, recorded, replayer.pull_decisions(record.time)
            recorded = []
        else:
            replayer.apply(record)


def replay(
    records: Iterable[Record],
    metadata: Any,
    make: Callable[[Deployment, int, float], Any] = AdmissionController,
    to_the_end: bool = False,
) -> Outcome:
    """Replay a trace and compare the decisions.

    Args:
        records: Records from the start of the instance.
        metadata: Metadata of the trace.
        make: Creates a controller from deployment, seed and start time.
        to_the_end: Continue after the first difference, with the recorded inputs rather than those that would have followed.

    Raises:
        IncompleteTraceError: The trace has no start or a gap.
    """
    count = decisions = differences = 0
    first: Difference | None = None
    recorded_all: Counter[str] = Counter()
    replayed_all: Counter[str] = Counter()
    for time, recorded, replayed in compare_decisions(records, Replayer(make, metadata)):
        count += 1
        decisions += len(recorded)
        recorded_all.update(decision.verb for decision in recorded)
        replayed_all.update(decision.verb for decision in replayed)
        if recorded != replayed:
            differences += 1
            first = first or Difference(time, count, recorded, replayed)
            if not to_the_end:
                break
    return Outcome(count, decisions, differences, first, recorded_all, replayed_all)
