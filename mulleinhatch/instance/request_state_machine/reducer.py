"""The one place where state changes: a happening goes in, what is to be done comes out.

`reduce` tells the happening to the module, pulls its decisions until there is none, and gives the errands
that carry them out, in order. It reads no clock and touches no socket; places are the numbers of the
connections that wait for an answer.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any

from mulleinhatch.admission import NOT_EXECUTED_ENDINGS, AdmissionController
from mulleinhatch.admission.interface import Decision, Deployment, Effect, Ending, Verb
from mulleinhatch.instance.request_state_machine.tables import Keys, Owed
from mulleinhatch.instance.retry_storms.bounds import StormBounds
from mulleinhatch.instance.retry_storms.duplicate_detection import RequestFingerprint, detailed_fingerprint, request_fingerprint
from mulleinhatch.instance.retry_storms.request_log import ExpiringSet, fingerprint
from mulleinhatch.instance.retry_storms.retry_admission import RetryAdmission
from mulleinhatch.invariants import check

READINGS_LAST = 1.0  # seconds: gauges that stopped coming tell nothing of the cores now
RUN_GAP = 1.0  # seconds in which no run ended, though some were asked for: the interpreter stood still
PARKED_MOST = 1.0  # seconds that a retry waits for a word on its twin: a run and the next request of its caller
PARKED_MARGIN = 0.5  # and no longer than leaves the module time to decide on it
NOTICES_KEPT = 4000  # by the interpreter: a number further on than that is no next one
LINGER = 10.0  # seconds after its arrival in which a try may be read, where the op type names no time
ENDED_SPAN, ENDED_ROOM = 10.0, 8192  # seconds for which the id of an op that ran is known, and at most so many in each
RUN_COUNTS = {ending: "run_" + ending.name.lower() for ending in Ending}


class Happening(Enum):
    INTERPRETER_UP = "interpreter up"  # is cold, seconds since
    LINK_OPENED = "link opened"
    LINE_BROKEN = "line broken"
    OP_READ = "op read"  # place, ref, op type, tenant, age, wait, caller, work, kb, again, key, body, rank, from a peer
    RUN_ENDED = "run ended"  # number of the notice, ref, ending, result
    RUN_UNKNOWN = "run unknown"  # ref
    CALL_WANTED = "call wanted"  # number of the notice, ref, what it asks for
    CALL_ENDED = "call ended"  # ref, ending, result
    NOTICE_PASSED = "notice passed"  # number: of one that says nothing to us
    RUN_SPOILT = "run spoilt"  # ref: it ended, and how can't be read
    GAUGES = "gauges"  # mark, readings
    ALARM = "alarm"  # token
    CHECKED = "checked"  # place
    CALLER_LOST = "caller lost"  # place
    LEAVE = "leave"  # seconds until the stop
    PART = "part"  # tenant, window, pieces of units and their ends: what the fleet leaves us of a total
    CALLS = "calls"  # share
    OTHERS = "others"  # their free share, whether they judge us ill, retries a second left to us, share wished away
    OFFERS = "offers"  # how many ops peers have room for just now
    HAND_ENDED = "hand ended"  # ref, ending, result: what became of an op at a peer

    __hash__ = object.__hash__  # members are single: Enum's own hash is Python code, often run


class Errand(Enum):
    ACK = "ack"  # place, result, level
    NACK = "nack"  # place, seconds to stay away, not elsewhere either, level
    FAIL = "fail"  # place, level
    REFUSE = "refuse"  # place, what makes it no op for us
    HEALTH = "health"  # place, good, level: the answer to a check
    ABANDON = "abandon"  # place: its answer goes elsewhere
    LISTING = "listing"  # open: what the directory is to be told
    TURN_BACK = "turn back"  # whether retries may be nacked before they are read in full
    LEAVE = "leave"  # seconds until the stop
    GREET = "greet"  # number of the last notice
    RENEW = "renew"  # the link
    RUN = "run"  # ref, op type, body
    CALL = "call"  # ref, seconds, what it asks for
    RESOLVE = "resolve"  # ref, result: the run goes on with what its call gave
    SKIP = "skip"  # ref: the run goes on without its call
    GAUGES = "gauges"  # mark
    ALARM = "alarm"  # seconds, token
    TRIM = "trim"  # seconds that an idle connection is kept
    HAND = "hand"  # ref, op type, tenant, body, age, seconds left, caller, work, kb, again, rank, key

    __hash__ = object.__hash__


class Reducer:
    """
    >>> reducer = Reducer({"op_types": [{}], "cores": 1}, ["read"], [], seed=7)
    >>> def happens(now, *told):
    ...     return [(errand.value, *more) for errand, *more in reducer.reduce(now, *told)]
    >>> happens(0.0, Happening.INTERPRETER_UP, False, 9.0)
    [('listing', True), ('gauges', 1)]
    >>> happens(0.0, Happening.OP_READ, 4, "r1", "read", "", 0.0, 2.0, 1, 0.1, 8.0, False, "", b"in")
    [('run', 'r1', 'read', b'in'), ('gauges', 2), ('alarm', 0.1, 1)]
    >>> happens(1.2, Happening.RUN_ENDED, 1, "r1", Ending.OK, b"out")
    [('ack', 4, b'out', None)]
    """

    def __init__(
        self,
        deployment: Deployment,
        op_types: Sequence[str],
        tenants: Sequence[str],
        seed: int,
        storms: StormBounds | None = None,
        record: Callable[[AdmissionController, float, bool, float], Any] | None = None,
    ) -> None:
        """`record` puts something between us and the module that keeps what passes, given when the instance started."""
        self.record = record
        self.deployment, self.seed = deployment, seed
        hold_off = deployment.get("max_hold_off", 0.0) if deployment.get("hold_off_allowed", False) else 0.0
        self.storms = storms and RetryAdmission(storms, hold_off, seed)
        self.may_repeat = {
            name
            for name, op_type in zip(op_types, deployment.get("op_types", []))
            if op_type.get("effect", Effect.NON_RETRYABLE) is Effect.RETRYABLE
        }
        self.once = {
            name
            for name, op_type in zip(op_types, deployment.get("op_types", []))
            if op_type.get("effect", Effect.NON_RETRYABLE) is Effect.NON_RETRYABLE
        }
        self.ended_at = self.idle_until = -math.inf  # when a run last ended; when one was asked for with none in hand
        self.unended = 0  # runs asked for that have not ended
        self.back = 0  # retries turned back that the module has not heard of
        self.op_types = {name: place for place, name in enumerate(op_types)}
        self.tenants = {name: place for place, name in enumerate(tenants)}
        self.hatch: Any = None  # the module, or what stands before it
        self.owed: dict[str, Owed] = {}
        self.places: dict[int, str] = {}
        self.followers: dict[str, list[str]] = {}
        # By op type, of keyed ones: the window of a repeat, and how long after its arrival one may be read.
        self.windows = {
            name: (op_type.get("repeat_window", 0.0), op_type.get("op_timeout") or LINGER)
            for name, op_type in zip(op_types, deployment.get("op_types", []))
            if op_type.get("effect") is Effect.KEYED
        }
        self.keys = Keys()
        self.ended = ExpiringSet(ENDED_SPAN, ENDED_ROOM)  # ids of ops that may not run twice, and may have run
        self.healthy, self.level = True, None
        self.readings: Sequence[float] = ()
        self.read_at = -math.inf
        self.last_notice = self.marks = 0
        self.renewed_at = -1  # the last notice when the link was made anew for a broken line
        self.unconfirmed: dict[str, int] = {}  # runs asked for, each after so many gauge marks
        self.going_on: dict[str, tuple[int, tuple]] = {}  # what runs were told at a call, each after so many marks
        self.greeted = False  # a new link has said nothing with a number yet
        self.resync: float = 0
        self.heard_at = math.inf  # when the interpreter last said something about runs or gauges
        self.stop_at: float | None = None
        self.warm_at = -math.inf  # at the slowest warming
        self.counts: Counter[str] = Counter()
        self.parked: dict[str, tuple[float, float, Owed, RequestFingerprint, tuple]] = {}  # until, since, op, likeness, told
        self.calls_share: float | None = None
        self.on_run: Callable[[float, float, float, bool], None] | None = None  # told of runs: seconds, work, failed or not
        self.on_op: Callable[[float, float], None] | None = None  # told of the work of each op of our own callers
        self.on_tenant: Callable[[float, str], None] | None = None  # told of each op that is read, for its demand
        # By tenant, and whether it is a rate or a cap: window, pieces.
        self.parts: dict[tuple[str, bool], tuple[float, Sequence[tuple[float, float]]]] = {}
        self.others: tuple[float, bool, float, float] | None = None
        self.away = 0  # ops that peers have
        self.hands = False  # whether ops may be handed to peers: then what a peer must be told is kept
        self.errands: list[tuple] = []
        self.handlers = {happening: getattr(self, "_" + happening.name.lower()) for happening in Happening}
        self.verbs = {
            verb: ("decided_" + verb.value.replace(" ", "_"), getattr(self, "_do_" + verb.name.lower(), self._do_other))
            for verb in Verb
        }

    def reduce(self, now: float, happening: Happening, *told: object) -> list[tuple]:
        """The errands stay in `errands` until the next happening, for a host that meets an error here."""
        self.errands = []
        self.handlers[happening](now, *told)
        if self.storms and self.hatch:
            self._watch(now)
            if self.parked:
                self._unpark(now)
        while self.hatch and (decision := self.hatch.next_decision(now)):
            name, act = self.verbs[decision.verb]
            self.counts[name] += 1
            act(now, decision)
        return self.errands

    # What happens.

    def _interpreter_up(self, now: float, cold: bool, since: float) -> None:
        """The gauges that are asked for here come after all notices that were missed: only then is it known
        which runs asked for last never arrived. Asked before the interpreter is up, they never come."""
        if self.hatch is None:
            if self.record:
                now, since = round(now, 6), round(since, 6)  # what is kept is what the module hears
            self.hatch = AdmissionController({**self.deployment, "fresh_start": cold}, self.seed, now - since)
            if cold:
                self.warm_at = now - since + self.deployment.get("cold_for", 0.0)
            if self.record:
                self.hatch = self.record(self.hatch, now, cold, since)
            if self.stop_at is not None:
                self.hatch.begin_drain(now, self.stop_at - now)
            for (tenant, _), part in list(self.parts.items()):
                self._part(now, tenant, *part)
            if self.others:
                self._others(now, *self.others)
            if self.calls_share is not None:
                self._calls(now, self.calls_share)
        elif now - since > self.heard_at:
            # It began after the last word of the one before: it is another interpreter.
            if self.last_notice:
                # The greeting named a notice of the one before: this one keeps to itself what it says up to that number.
                self.errands.append((Errand.RENEW,))
            self.last_notice, self.renewed_at, self.heard_at = 0, -1, now
            for owed in [owed for owed in self.owed.values() if owed.running]:
                self._end_run(now, owed.ref, Ending.ERROR, b"")
        self.errands.append((Errand.LISTING, self.healthy))
        self._ask_gauges()
        self.resync = self.marks

    def _link_opened(self, now: float) -> None:
        if self.storms:
            self.storms.detector.record_outage(now)
        self.greeted = True
        self.errands.append((Errand.GREET, self.last_notice))
        self.resync = math.inf

    def _line_broken(self, now: float) -> None:
        """Where the next line begins is open, so the link is made anew, and what was missed comes again. What
        comes broken again is passed over, or nothing behind it would be read."""
        if self.last_notice > self.renewed_at:
            self.renewed_at = self.last_notice
            self.errands.append((Errand.RENEW,))

    def _op_read(
        self,
        now: float,
        place: int,
        ref: str,
        op_type: str,
        tenant: str,
        age: float,
        wait: float,
        caller: int,
        work: float,
        kb: float,
        again: bool,
        key: str,
        body: bytes,
        rank: float = 0.0,
        handed: bool = False,
    ) -> None:
        self.counts["ops_read"] += 1
        if self.storms:
            self.storms.executed.confirm_response_read(place)
        if op_type not in self.op_types:
            self.errands.append((Errand.REFUSE, place, "op type"))
        elif self.tenants and tenant not in self.tenants:
            self.errands.append((Errand.REFUSE, place, "tenant"))
        elif ref in self.owed:
            self._sent_again(place, ref, op_type, tenant, body)
        elif self.hatch is None:
            self.errands.append((Errand.NACK, place, 0.0, False, self.level))
        elif self.ended.contains(now, ref):
            self._came_again(place, ref, fingerprint(0, op_type, tenant, key, body))
        elif self._key_in_use(now, now - age, op_type, tenant, key, body):
            self.errands.append((Errand.REFUSE, place, "key in use"))
        else:
            told = (op_type, tenant, age, wait, caller, work, kb, again, key, rank)
            owed = self.owed[ref] = Owed(ref, place, op_type, tenant, key, body, now - age, now + (wait or math.inf))
            self.places[place] = ref
            if self.hands:
                owed.told, owed.from_peer = (now - age, caller, work, kb, again, rank), handed
                self.counts["ops_from_peers"] += handed
            like = request_fingerprint(caller, op_type, tenant, key, body, rank, work, kb) if self.storms else None
            if (
                like
                and again
                and op_type in self.once
                and self.storms.executed.may_have_executed(now, like, self.storms.duplicates.are_costs_stable(now))
            ):
                return self._park(now, owed, like, told)
            self._take_in(now, owed, like, *told)

    def _take_in(
        self,
        now: float,
        owed: Owed,
        like: RequestFingerprint | None,
        op_type: str,
        tenant: str,
        age: float,
        wait: float,
        caller: int,
        work: float,
        kb: float,
        again: bool,
        key: str,
        rank: float,
    ) -> None:
        if op_type in self.windows:
            owed.repeats = self._standing(now, owed)
        if self.on_tenant:
            self.on_tenant(now, tenant)
        if self.on_op and not owed.from_peer:
            self.on_op(now, work)
        if self.storms:
            repeat, owed.looks = self.storms.duplicates.classify(now, like, again, op_type in self.once)
            self.storms.record_request(now, caller, repeat, age)
            self.storms.counts["repeats_unmarked"] += repeat and not again
            again = again or repeat and self.storms.is_active  # unmarked, it is one more of those that crowd
        self.hatch.record_arrival(
            now, owed.ref, self.op_types[op_type], age, wait, self.tenants.get(tenant, 0), owed.repeats, caller, work, kb, again
        )
        if owed.from_peer:
            self.hatch.mark_received_from_peer(now, owed.ref)

    def _park(self, now: float, owed: Owed, like: RequestFingerprint, told: tuple) -> None:
        """A marked retry of a non-retryable op that may have run here. With the figures of that run it is its retry, and
        fails: nobody can tell it that the first had its effect, and a second one is what must not be. With others it
        waits a moment, until the answer of its twin is known to have been read: then it is another op for certain."""
        until = min(now + PARKED_MOST, owed.due - PARKED_MARGIN)
        if self.storms.executed.may_have_executed(now, like, True) or until <= now:
            return self._may_have_run(owed, like, now)
        self.parked[owed.ref] = until, now, owed, like, told
        self.errands.append((Errand.ALARM, until - now, 0))

    def _unpark(self, now: float) -> None:
        for ref, (until, since, owed, like, told) in list(self.parked.items()):
            if owed.place is None:
                del self.parked[ref]  # its caller is gone
            elif not self.storms.executed.may_have_executed(now, like, self.storms.duplicates.are_costs_stable(now)):
                del self.parked[ref]
                self.storms.counts["retries_told_apart"] += 1
                op_type, tenant, age, wait, *more = told
                self._take_in(now, owed, like, op_type, tenant, age + now - since, wait and wait - (now - since), *more)
            elif now >= until:
                del self.parked[ref]
                self._may_have_run(owed, like, now)

    def _key_in_use(self, now: float, arrived: float, op_type: str, tenant: str, key: str, body: bytes) -> bool:
        """A keyed op that comes with the key of another one is nobody's repeat: answered from that one's result it would
        have what no run made for it, and run it might have an effect twice."""
        place = op_type, tenant, key
        if op_type not in self.windows or not self.keys.known(place):
            return False
        ref = self.keys.standing(place, arrived, now)
        return bool(ref) and not self.keys.like(ref, fingerprint(0, op_type, tenant, key, body))

    def _standing(self, now: float, owed: Owed) -> str:
        """The op that a keyed one repeats. One that has not run yet may be given up, and this one stand in its place: a
        later repeat must find it, so that one's time counts from here."""
        if not owed.key or not (ref := self.keys.standing(owed.key_place, owed.arrived, now)):
            return ""
        leader = self.owed.get(ref)
        if leader and not leader.may_have_run:
            self.keys.repeated(ref, owed.arrived + self.windows[owed.op_type][0])
        return ref

    def _came_again(self, place: int, ref: str, looks: bytes) -> None:
        """The id of an op that ran and was answered: its caller did not get the answer, and must not have it run again. A
        stranger that uses the id must not have its result."""
        self.counts["ops_sent_again"] += 1
        result = self.keys.result(ref)
        if result is None or not self.keys.like(ref, looks):
            self.errands.append((Errand.FAIL, place, self.level))
        else:
            self.errands.append((Errand.ACK, place, result, self.level))

    def _may_have_run(self, owed: Owed, like: RequestFingerprint, now: float) -> None:
        self.counts["repeats_of_run"] += 1
        self.storms.counts["repeats_of_run_alike"] += self.storms.duplicates.shared.contains(
            now, like.coarse
        )  # perhaps a twin's
        self._answer(now, owed, Errand.FAIL)

    def turned_back(
        self,
        now: float,
        ref: str,
        op_type: str,
        tenant: str,
        caller: int,
        again: bool,
        key: str,
        body: bytes,
        punctual: bool,
        stubborn: bool,
        place: int = -1,
        figures: Callable[[], tuple[float, float, float]] = lambda: (0.0, 0.0, 0.0),
    ) -> float | None:
        """Asked for a try before it is read in full: seconds that its nack tells to stay away, or None where it
        goes the ordinary way. Only a repeat is turned back, by the rate that the module named, and none of an op
        that may have run here or is under way. It counts as read, and is no op: it never comes to the module. `figures`
        gives its rank, cost and memory, which few need: to read them costs."""
        retry_admission = self.storms
        if ref in self.owed or op_type not in self.op_types or key and self.keys.known((op_type, tenant, key)):
            return None
        plain, once = b"", op_type in self.once
        if not again or once:  # else its likeness tells nothing new, and costs
            plain = fingerprint(caller, op_type, tenant, key, body)
            if (
                not retry_admission.duplicates.is_known_repeat(now, plain, lambda: detailed_fingerprint(plain, *figures()))
                if not again
                else plain in retry_admission.executed.by_coarse
            ):
                return None
        if not retry_admission.should_reject(now, caller, punctual):
            return None
        if plain:
            retry_admission.duplicates.record_rejected_unread(
                now, plain, lambda: detailed_fingerprint(plain, *figures()), again
            )
        retry_admission.executed.confirm_response_read(place)
        retry_admission.record_request(now, caller, True, 0.0)
        retry_admission.rejected_retries += 1
        retry_admission.rejected_early_retries += stubborn
        self.back += 1
        return retry_admission.retry_after(now, 0.0, stubborn)

    def warmth(self, now: float) -> float:
        """The share of its speed that it has at the slowest warming; 1 once it is warm."""
        left = (self.warm_at - now) / self.deployment["cold_for"] if now < self.warm_at else 0.0
        return 1.0 - (1.0 - self.deployment.get("cold_speed", 1.0)) * min(1.0, left)

    def room(self, now: float) -> int:
        """Ops that could start here at once; none where this instance should not be asked for more. While it is cold its places
        count for the share of its speed that it has: what all peers together send on our word is bounded by our word alone."""
        if self.hatch is None or not self.healthy or self.stop_at is not None or self.storms and self.storms.is_active:
            return 0
        return max(0, max(1, int(self.hatch.limit * self.warmth(now))) - len(self.owed) + self.away)

    def room_told(self, now: float) -> int:
        """As others hear of it, who may guess by it, each for itself: none while it is cold, when their sum would fell it."""
        return 0 if now < self.warm_at else self.room(now)

    def handable(self) -> int:
        """Ops held here that might go to a peer."""
        return sum(
            not (owed.running or owed.handed or owed.from_peer or owed.place is None or owed.op_type in self.windows)
            for owed in self.owed.values()
        )

    def connected(self) -> None:
        """A caller's connection was accepted: counted alone, for hundreds come at once and nothing is decided by one."""
        self.storms.detector.count(connects=1)

    def _watch(self, now: float) -> None:
        if self.storms.detector.is_due(now):
            if self.back:
                self.hatch.record_early_rejections(now, self.back)
                self.back = 0
            if self.storms.update(now, self.hatch.capacity()):
                self.hatch.set_retry_storm(now, *self.storms.last_reported)

    def _sent_again(self, place: int, ref: str, *same: object) -> None:
        """The same try on another connection, as it crossed the close of its first: it moves there. Anything
        else under the id of an open op is a stranger's, who must not get its answer nor end its wait."""
        owed = self.owed[ref]
        self.counts["ops_sent_again"] += 1
        if same != owed.same:
            self.errands.append((Errand.REFUSE, place, "id in use"))
        elif owed.place is None:
            self.errands.append((Errand.FAIL, place, self.level))
        else:
            self.places.pop(owed.place, None)
            self.errands.append((Errand.ABANDON, owed.place))
            owed.place, self.places[place] = place, ref

    def _is_news(self, now: float, number: int, ref: str) -> bool:
        """Of a numbered notice. One whose number is no next one is believed only of a run in hand: taken at its word, no notice
        after it would be believed any more."""
        if number <= self.last_notice:
            self.counts["notices_repeated"] += 1
            return False
        self.heard_at = now
        if self.greeted and number > self.last_notice + 1:
            self._notices_lost(now)
        self.greeted = False
        if number <= self.last_notice + NOTICES_KEPT:
            self.last_notice = number
            return True
        self.counts["notices_strange"] += 1
        return ref in self.owed

    def _notice_passed(self, now: float, number: int) -> None:
        self._is_news(now, number, "")

    def _notices_lost(self, now: float) -> None:
        """More came while there was no link than the interpreter keeps. Which runs ended nobody can tell: they may not run
        again, and those that nobody waits for any more, or will when their time is over, must not keep their places."""
        self.counts["notices_lost"] += 1
        for owed in list(self.owed.values()):
            owed.in_doubt = owed.running and owed.ref not in self.unconfirmed
            if owed.in_doubt and owed.place is None:
                self._end_run(now, owed.ref, Ending.ERROR, b"")

    def _run_ended(self, now: float, number: int, ref: str, ending: Ending, result: bytes) -> None:
        if not self._is_news(now, number, ref):
            return
        if self.storms and now - max(self.ended_at, self.idle_until) > RUN_GAP:
            self.storms.detector.record_outage(now)
        self.ended_at = now
        self._end_run(now, ref, ending, result)

    def _call_wanted(self, now: float, number: int, ref: str, query: bytes) -> None:
        """A run waits for a call. So it is with the interpreter, and goes on from the call before."""
        owed = self.owed.get(ref)
        if not self._is_news(now, number, ref) or owed is None or not owed.running:
            return
        self.unconfirmed.pop(ref, None)
        self.going_on.pop(ref, None)
        self.counts["calls_wanted"] += 1
        owed.query = query
        self.hatch.record_call_request(now, ref)

    def _call_ended(self, now: float, ref: str, ending: Ending, result: bytes) -> None:
        owed = self.owed.get(ref)
        if owed is None or not owed.running:
            return
        self.hatch.record_call_end(now, ref, ending)
        if ending is Ending.OK and owed.place is not None:
            self._go_on(ref, (Errand.RESOLVE, ref, result))

    def _go_on(self, ref: str, errand: tuple) -> None:
        """Kept until gauges confirm it, as a run is: lost with a link, the run would wait for ever."""
        self.going_on[ref] = self.marks, errand
        self.errands.append(errand)

    def _run_spoilt(self, now: float, ref: str) -> None:
        self.counts["runs_spoilt"] += 1
        self._end_run(now, ref, Ending.ERROR, b"")

    def _run_unknown(self, now: float, ref: str) -> None:
        """No op that came to the machine: its sender is refused, and nothing that ran is measured by it."""
        self.counts["runs_unknown"] += 1
        if owed := self.owed.get(ref):
            if owed.place is not None:
                self.errands.append((Errand.REFUSE, owed.place, "op id"))
                self._left(owed)
            owed.may_have_run = False
            self._end_run(now, ref, Ending.MOOT, b"")
            self.keys.forget(ref)  # nothing ran for its key

    def _end_run(self, now: float, ref: str, ending: Ending, result: bytes) -> None:
        owed = self.owed.get(ref)
        self.unconfirmed.pop(ref, None)
        self.going_on.pop(ref, None)
        if owed is None or not owed.running:
            self.counts["endings_unexpected"] += 1
            return
        owed.running = False
        self.unended -= 1
        if ending is Ending.MOOT and self.storms:
            self.storms.executed.remove(ref)
        if ending is Ending.STOPPED and owed.place is not None:
            ending = Ending.ERROR  # nobody here stopped it, and the module would take it for paused
        self.counts[RUN_COUNTS[ending]] += 1
        if self.on_run and ending in (Ending.OK, Ending.ERROR):
            self.on_run(now, now - owed.started, owed.told[2] if owed.told else 0.0, ending is Ending.ERROR)
        self._conclude(now, owed, ending, result)
        for follower in self.followers.pop(ref, ()):
            if follower in self.owed:
                self._answer_from(now, self.owed[follower])

    def _gauges(self, now: float, mark: int, readings: Sequence[float]) -> None:
        """A run that was asked for before gauges that have come is with the interpreter, unless a link was
        lost between: behind the mark set then, it never arrived."""
        if mark > self.marks:
            self.counts["notices_strange"] += 1  # nobody asked for these: what it would confirm may be under way
            return
        self.readings, self.read_at, self.heard_at = readings, now, now
        before = [ref for ref, asked in self.unconfirmed.items() if asked < mark]
        went_on = [ref for ref, (asked, _) in self.going_on.items() if asked < mark]
        if mark < self.resync:
            return
        for ref in before:
            del self.unconfirmed[ref]
            if self.resync:
                self.counts["runs_asked_again"] += 1
                self._ask_run(self.owed[ref])
        for ref in went_on:
            _, errand = self.going_on.pop(ref)
            if self.resync:
                self.counts["calls_told_again"] += 1
                self._go_on(ref, errand)
        self.resync = 0

    def _alarm(self, now: float, token: int) -> None:
        if self.hatch and token:
            fresh = now - self.read_at <= READINGS_LAST
            self.hatch.handle_wakeup(now, token, self.readings if fresh else ())

    def _checked(self, now: float, place: int) -> None:
        self.counts["checks"] += 1
        if self.storms:
            self.storms.executed.confirm_response_read(place)
        self.errands.append((Errand.HEALTH, place, self.healthy, self.level))

    def _caller_lost(self, now: float, place: int) -> None:
        ref = self.places.get(place)
        if ref is None:
            return
        self.counts["callers_lost"] += 1
        owed = self.owed[ref]
        self._left(owed)
        self.hatch.record_abandonment(now, ref)
        self._drop_if_done(now, owed)

    def _leave(self, now: float, grace: float) -> None:
        if self.stop_at is not None:
            return  # the first notice counts
        self.healthy, self.stop_at = False, now + grace
        self.errands.append((Errand.LEAVE, grace))
        if self.hatch:
            self.hatch.begin_drain(now, grace)

    def _part(self, now: float, tenant: str, window: float, pieces: Sequence[tuple[float, float]]) -> None:
        """Before the module is there it is kept for it: a tenant with a total must never run without its part."""
        self.parts[tenant, window > 0.0] = window, pieces
        if self.hatch and tenant in self.tenants:
            self.hatch.set_tenant_budget(now, self.tenants[tenant], window, pieces)

    def _calls(self, now: float, share: float) -> None:
        self.calls_share = share
        if self.hatch:
            self.hatch.set_dependency_share(now, share)

    def _others(self, now: float, *told: Any) -> None:
        self.others = told
        if self.hatch:
            self.hatch.update_peer_load(now, *told)

    def _offers(self, now: float, count: int) -> None:
        if self.hatch:
            self.hatch.set_peer_offers(now, count)

    def _hand_ended(self, now: float, ref: str, ending: Ending, result: bytes) -> None:
        """Its answer is the peer's. A nack, or a peer that was never reached, says that it did not run there; a link that
        broke says nothing, and what may not run twice fails. What its caller no longer waits for is only closed."""
        owed = self.owed.get(ref)
        if owed is None or not owed.handed:
            return
        owed.handed = False
        self.away -= 1
        self.counts["hand_" + ending.name.lower()] += 1
        unrun = ending in NOT_EXECUTED_ENDINGS
        owed.may_have_run = owed.may_have_run and not unrun
        if unrun and self.storms:
            self.storms.executed.remove(ref)
        if owed.place is None:
            self._drop_if_done(now, owed)
            return
        self.hatch.record_handover_end(now, ref, ending)
        if not unrun and not (ending is Ending.INTERRUPTED and owed.op_type in self.may_repeat):
            self._close_run(now, owed, ending, result)

    # What the module decides.

    def _do_hand_over(self, now: float, decision: Decision) -> None:
        owed = self.owed.get(decision.ref)
        check(owed and owed.told and owed.place is not None and not owed.running, "only an op that is held is handed over")
        if owed:
            owed.handed = owed.may_have_run = True
            self.away += 1
            if self.storms and owed.op_type in self.once:
                self.storms.executed.add(now, owed.ref, RequestFingerprint(*owed.looks), owed.due)
            arrived, *figures = owed.told
            left = owed.due - now if owed.due < math.inf else 0.0
            self.errands.append(
                (Errand.HAND, owed.ref, owed.op_type, owed.tenant, owed.body, now - arrived, left, *figures, owed.key)
            )

    def _do_run(self, now: float, decision: Decision) -> None:
        owed = self.owed.get(decision.ref)
        check(owed and not owed.running, "only an op that is held is run")
        if owed:
            if not self.unended:
                self.idle_until = now
            self.unended += 1
            owed.running, owed.started, owed.may_have_run = True, now, True
            if self.storms and owed.op_type in self.once:
                self.storms.executed.add(now, owed.ref, RequestFingerprint(*owed.looks), owed.due)
            self._ask_run(owed)

    def _do_call(self, now: float, decision: Decision) -> None:
        if owed := self.owed.get(decision.ref):
            self.errands.append((Errand.CALL, owed.ref, decision.seconds, owed.query))

    def _do_skip_call(self, now: float, decision: Decision) -> None:
        self._go_on(decision.ref, (Errand.SKIP, decision.ref))

    def _do_reject(self, now: float, decision: Decision) -> None:
        owed = self.owed.get(decision.ref)
        check(owed and not owed.running and owed.place is not None, "only an op that never ran is nacked")
        if owed:
            seconds = decision.seconds
            if self.storms:
                self.storms.duplicates.record_rejected(now, owed.looks)
                if seconds > 0.0:
                    seconds = self.storms.retry_after(now, seconds, False)
            self._answer(now, owed, Errand.NACK, seconds, decision.flag)

    def _do_fail(self, now: float, decision: Decision) -> None:
        owed = self.owed.get(decision.ref)
        check(owed and owed.place is not None, "only an op that is owed an answer fails")
        if owed:
            self._answer(now, owed, Errand.FAIL)
            if owed.in_doubt and owed.running:
                self._end_run(now, owed.ref, Ending.ERROR, b"")

    def _do_keep(self, now: float, decision: Decision) -> None:
        if (owed := self.owed.get(decision.ref)) and owed.key:
            looks = fingerprint(0, owed.op_type, owed.tenant, owed.key, owed.body)
            self.keys.keep(owed.key_place, owed.ref, looks, now + decision.seconds, self.windows[owed.op_type][1])

    def _do_forget(self, now: float, decision: Decision) -> None:
        self.keys.forget(decision.ref)

    def _do_answer_from(self, now: float, decision: Decision) -> None:
        if owed := self.owed.get(decision.ref):
            self._answer_from(now, owed)

    def _do_health(self, now: float, decision: Decision) -> None:
        self.healthy = decision.flag
        self.errands.append((Errand.LISTING, decision.flag))

    def _do_advise(self, now: float, decision: Decision) -> None:
        self.level = decision.level

    def _do_trim(self, now: float, decision: Decision) -> None:
        self.errands.append((Errand.TRIM, decision.seconds))

    def _do_wake(self, now: float, decision: Decision) -> None:
        """The gauges are asked for ahead: waiting for them when the alarm goes off would delay answers."""
        self._ask_gauges()
        self.errands.append((Errand.ALARM, decision.seconds, decision.ref))

    def _do_limit_retries(self, now: float, decision: Decision) -> None:
        self.storms.set_rate(now, decision.level)
        self.errands.append((Errand.TURN_BACK, self.storms.is_limiting))

    def _do_other(self, now: float, decision: Decision) -> None:
        check(False, f"the link has no word for {decision.verb.value}")

    # What both come to.

    def _ask_run(self, owed: Owed) -> None:
        self.unconfirmed[owed.ref] = self.marks
        self.errands.append((Errand.RUN, owed.ref, owed.op_type, owed.body))

    def _ask_gauges(self) -> None:
        self.marks += 1
        self.errands.append((Errand.GAUGES, self.marks))

    def _answer_from(self, now: float, owed: Owed) -> None:
        """By the result of the op that it repeats, at once or when that has run. Where that one was given up unrun, another
        repeat of it may stand in its place."""
        leaders = (owed.repeats, self.keys.standing(owed.key_place, owed.arrived, now))
        for leader in leaders:
            if (result := self.keys.result(leader)) is not None:
                return self._conclude(now, owed, Ending.OK, result)
        for leader in leaders:
            if leader in self.owed and self.owed[leader].running:
                self.followers.setdefault(leader, []).append(owed.ref)
                return
        self._conclude(now, owed, Ending.ERROR, b"")

    def _conclude(self, now: float, owed: Owed, ending: Ending, result: bytes) -> None:
        """The end of a run, its own or that of the op it repeats, for the module, the keys and the caller."""
        self.hatch.record_run_end(now, owed.ref, ending)
        self._close_run(now, owed, ending, result)

    def _close_run(self, now: float, owed: Owed, ending: Ending, result: bytes) -> None:
        if ending is Ending.OK:
            self.keys.store(owed.ref, result)
            if self.storms and owed.place is not None:
                self.storms.duplicates.record_served(now, owed.looks)
                self.storms.executed.record_response(now, owed.ref, owed.place)
            self._answer(now, owed, Errand.ACK, result)
        else:
            self._answer(now, owed, Errand.FAIL)

    def _answer(self, now: float, owed: Owed, errand: Errand, *told: object) -> None:
        if owed.place is not None:
            self.errands.append((errand, owed.place, *told, self.level))
            self._left(owed)
        self._drop_if_done(now, owed)

    def _left(self, owed: Owed) -> None:
        """Nobody waits for it any more."""
        self.places.pop(owed.place, None)
        owed.place = None
        if self.storms:
            self.storms.duplicates.record_closed(owed.looks)

    def _drop_if_done(self, now: float, owed: Owed) -> None:
        if owed.place is None and not owed.running and not owed.handed:
            self.owed.pop(owed.ref, None)
            if owed.may_have_run and owed.op_type not in self.may_repeat:
                self.ended.add(now, owed.ref)
