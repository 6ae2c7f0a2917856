"""Record a session in the simulator's protocol, and replay it to a source tree.

`record_session` simulates a few instances from a seed against the adapter of one tree and stores every byte that was sent.
`replay` sends the same bytes to the adapter of any tree and returns the digest of its replies and its processor time. Equal
digests mean equal decisions, in the same order, at the same times. Only the command `python -m mulleinhatch.benchlink` is used
and nothing is imported from the package, so trees with other module names can be compared.
"""

from __future__ import annotations

import hashlib
import heapq
import os
import random
import struct
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

ADAPTER = [sys.executable, "-m", "mulleinhatch.benchlink"]
BATCH, REPLY = struct.Struct(">IdI"), struct.Struct(">III")
REQUEST = struct.Struct(">BQddHfQBHQBdf")
RESULT, REF, FIRED_HEAD = struct.Struct(">BQHd"), struct.Struct(">BQ"), struct.Struct(">BQB")
SOURCE, RUN, REJECT, FAIL, STOP, CALL, SKIP_CALL, KEEP, FORGET, ANSWER_FROM = 0x50, 65, 66, 67, 68, 69, 70, 71, 72, 73
WAKE, MODULE_ERROR = 77, 79
# The formats of the fields that follow the code of each action.
ACTION_FIELDS = {
    SOURCE: ">H",
    RUN: ">Q",
    REJECT: ">QdB",
    FAIL: ">Q",
    STOP: ">Q",
    CALL: ">Qd",
    SKIP_CALL: ">Q",
    KEEP: ">Qd",
    FORGET: ">Q",
    ANSWER_FROM: ">Q",
    74: ">BB",
    75: ">f",
    76: ">d",
    WAKE: ">dQ",
}
TICK_MS = 2.0
SAFE, KEYED, UNSAFE = 0, 1, 2
GAUGES = "core_use,on_cores,heap_share,links"
CORES = 4
MEAN_WORK_MS = 24.0  # mean processing time of a request
LOAD_FACTOR = 1.25  # mean offered load, as a multiple of the capacity of the cores

Action = tuple[int, tuple]


@dataclass
class Recording:
    """A recorded session: batches, digest of the recording tree's replies, and numbers of requests and events."""

    batches: bytes
    digest: str
    requests: int
    records: int


@dataclass(frozen=True)
class Replay:
    """The replies of one tree to a recorded session; `answer_bytes` shows that it did reply."""

    digest: str
    answer_bytes: int
    processor_s: float


@dataclass
class Instance:
    """Simulated state of one instance: its settings and the requests that were sent to it.

    Attributes:
        running: Current run by request; the end of a stopped run has no effect.
        kept: Time until which the entry of a request is kept, by request.
    """

    number: int
    profile: str
    stop_mode: str
    calls_below: bool
    reports_disconnects: bool
    works: dict[int, float] = field(default_factory=dict)
    operation_types: dict[int, int] = field(default_factory=dict)
    running: dict[int, int] = field(default_factory=dict)
    paused: set[int] = field(default_factory=set)
    called: set[int] = field(default_factory=set)
    kept: dict[int, float] = field(default_factory=dict)

    def forget(self, ref: int) -> None:
        """Forget a request that has ended; no further event refers to it."""
        for known in (self.works, self.operation_types, self.running):
            known.pop(ref, None)
        self.paused.discard(ref)
        self.called.discard(ref)


def profile_of(number: int) -> tuple[str, str, bool, bool]:
    """Return an instance's settings, stop mode, whether it calls a dependency, and whether disconnects are reported to it."""
    stop_mode = ("off", "discard", "freeze")[number % 3]
    calls_below, reports_disconnects = number % 2 == 1, number % 4 != 2
    say = ("floor", "allowance", "weight", "off")[number % 4]
    pairs: dict[str, object] = {
        "servers": 6,
        "tick": TICK_MS,
        "family_info.cores": CORES,
        "family_info.callers": 8,
        "family_info.gauges": GAUGES,
        "family_info.memory_kb": 24000.0,
        "family_info.run_factor": 3.0,
        "family_info.key_kb": 2.0 if number % 2 else 60.0,
        "family_info.idle": 12000.0,
        "family_info.say": say,
        "family_info.said_for": 900.0,
        "family_info.stop_mode": stop_mode,
        "family_info.tells_gone": str(reports_disconnects).lower(),
        "family_info.fresh_start": str(number % 5 == 4).lower(),
        "family_info.fresh_for": 400.0 if number % 3 == 0 else 0.0,
        "family_info.depends_on": "one_for_all" if calls_below else "off",
        "family_info.calls_out": 6.0 if calls_below else 0.0,
        "family_info.calls_over": 4000.0,
        "family_info.stays_for": 150.0,
        "family_info.class_calls": "true,false,true" if calls_below else "false,false,false",
        "family_info.degraded_worth": "0.4,0.0,0.0",
        "limits.retry_after": "true",
        "limits.max_retry_after": 800.0,
        "rules.cold": 9000.0,
        "rules.cold_from": 0.3,
        "rules.drain_grace": 1500.0,
        "rules.fall": 1200.0,
        "rules.grace_to_answer": 120.0,
        "rules.tip_multiple": 6.0,
        "worth_by": "request",
        "over_share_worth": 0.1,
        "classes.count": 3,
        "tenants.count": 3 if number % 2 == 0 else 0,
    }
    for index, (effect, latency_target_ms, deadline_ms, class_value) in enumerate(
        (("safe", 500.0, 1500.0, 1.0), ("keyed", 900.0, 2500.0, 3.0), ("unsafe", 1200.0, 3000.0, 5.0))
    ):
        settings = {
            "effect": effect,
            "aim": latency_target_ms,
            "deadline": deadline_ms,
            "worth": class_value,
            "late_worth": 0.2,
            "memory_span": 4000.0,
        }
        pairs |= {f"classes.{index}.{name}": value for name, value in settings.items()}
    for index, fraction in enumerate((0.5, 0.3, 0.2) if number % 2 == 0 else ()):
        pairs |= {f"tenants.{index}.fraction": fraction, f"tenants.{index}.quota_per_s": 200.0 * fraction}
    return "".join(f"{name}={value}\n" for name, value in pairs.items()), stop_mode, calls_below, reports_disconnects


def read_actions(records: bytes) -> Iterator[Action]:
    """Yield the actions of a reply.

    Raises:
        RuntimeError: If the adapter reports an error.

    >>> list(read_actions(bytes.fromhex("500003" "41000aa7605d3a91c4")))
    [(80, (3,)), (65, (2998782089925060,))]
    """
    at = 0
    while at < len(records):
        code = records[at]
        if code == MODULE_ERROR:
            (size,) = struct.unpack_from(">H", records, at + 1)
            raise RuntimeError(f"the adapter reported an error: {records[at + 3 : at + 3 + size].decode()}")
        shape = struct.Struct(ACTION_FIELDS[code])
        yield code, shape.unpack_from(records, at + 1)
        at += 1 + shape.size


class World:
    """Simulates clients, cores and timers of instances: sends batches and applies replies. All draws come from one seed."""

    def __init__(self, instances: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.instances = {number: Instance(number, *profile_of(number)) for number in range(instances)}
        self.now = 0.0
        self.requests = self.records = 0
        self._order = count()
        self._scheduled: list[tuple[float, int, int, tuple]] = []  # heap: time, order, instance, event
        self._ids = count(1)
        for number in self.instances:
            self._schedule(0.0, number, "create")
            self._schedule(self._next_interarrival_ms(), number, "arrive")

    def _next_interarrival_ms(self) -> float:
        load_multiple = 1.6 if int(self.now / 3000.0) % 2 else 0.7  # alternating high and low load, 3 s each
        return self.random.expovariate(load_multiple * LOAD_FACTOR * CORES / MEAN_WORK_MS)

    def _schedule(self, time_ms: float, number: int, *due: object) -> None:
        heapq.heappush(self._scheduled, (time_ms, next(self._order), number, due))

    def batches(self, seconds: float) -> Iterator[tuple[float, bytes]]:
        """Yield the clock and body of each batch; each reply must be given to `apply_reply` before the next one."""
        for number in self.instances:
            if number % 3 == 1:
                self._schedule(700.0 * seconds, number, "retire", int(150.0 * seconds))
            if number % 3 != 2:
                self._schedule(850.0 * seconds, number, "restart")
        while self._scheduled and self._scheduled[0][0] < 1000.0 * seconds:
            self.now = max(self.now + TICK_MS, self._scheduled[0][0])
            events_by_instance: dict[int, list[bytes]] = {}
            while self._scheduled and self._scheduled[0][0] <= self.now:
                _, _, number, due = heapq.heappop(self._scheduled)
                events_by_instance.setdefault(number, []).extend(self._events_of(self.instances[number], *due))
            parts = [
                struct.pack(">BH", 10, number) + b"".join(events) for number, events in events_by_instance.items() if events
            ]
            self.records += sum(len(events) for events in events_by_instance.values())
            if parts:
                yield self.now, b"".join(parts)

    def _events_of(self, instance: Instance, kind: str, *arguments: int) -> list[bytes]:
        """Return the events to send to the instance for one scheduled event."""
        match kind:
            case "create":
                return [self._create(instance)]
            case "restart":
                return [b"\x09", self._create(instance)]
            case "arrive":
                self._schedule(self.now + self._next_interarrival_ms(), instance.number, "arrive")
                return [self._request(instance)]
            case "retire":
                return [struct.pack(">Bd", 6, float(arguments[0]))]
            case "fired":
                return [self._fired(instance, arguments[0])]
            case "gone":
                return self._caller_disconnected(instance, arguments[0])
            case "run end":
                return self._run_end(instance, arguments[0], arguments[1])
            case "call end" if arguments[0] in instance.called:
                return self._call_end(instance, arguments[0])
            case "stopped" if arguments[0] in instance.works:
                return [RESULT.pack(3, arguments[0], 7, MEAN_WORK_MS)]
            case "ended" if arguments[0] in instance.works:
                instance.forget(arguments[0])
                return [RESULT.pack(3, arguments[0], arguments[1], 5.0)]
        return []

    def _create(self, instance: Instance) -> bytes:
        for ref in list(instance.works):
            instance.forget(ref)
        instance.kept.clear()
        # Timers and runs of the previous incarnation must not reach the new one.
        self._scheduled = [
            due for due in self._scheduled if due[2] != instance.number or due[3][0] in ("arrive", "retire", "restart")
        ]
        heapq.heapify(self._scheduled)
        profile = instance.profile.encode()
        return struct.pack(">BQI", 1, self.random.getrandbits(64), len(profile)) + profile

    def _caller_disconnected(self, instance: Instance, ref: int) -> list[bytes]:
        if ref not in instance.works:
            return []
        if ref not in instance.running and ref not in instance.called:
            instance.forget(ref)
        return [REF.pack(7, ref)]

    def _run_end(self, instance: Instance, ref: int, run: int) -> list[bytes]:
        if instance.running.get(ref) != run:
            return []
        if instance.calls_below and instance.operation_types[ref] != KEYED and ref not in instance.called:
            del instance.running[ref]
            instance.called.add(ref)
            return [REF.pack(4, ref)]
        instance.forget(ref)
        return [RESULT.pack(3, ref, 1 if self.random.random() < 0.96 else 2, MEAN_WORK_MS)]

    def _call_end(self, instance: Instance, ref: int) -> list[bytes]:
        ending = self.random.choice((1, 1, 1, 1, 1, 1, 2, 4, 5))
        if ending == 1:
            self._run(instance, ref)
        return [RESULT.pack(5, ref, ending, 30.0)]

    def _request(self, instance: Instance) -> bytes:
        self.requests += 1
        rng = self.random
        ref = (rng.getrandbits(20) << 24 | next(self._ids)) & ((1 << 52) - 1)
        operation_type = rng.choices((SAFE, KEYED, UNSAFE), (6, 3, 1))[0]
        live = [kept for kept, until in instance.kept.items() if until > self.now]
        repeat_of = rng.choice(live) if live and operation_type == KEYED and rng.random() < 0.2 else 0
        work = rng.lognormvariate(0.0, 0.6) * MEAN_WORK_MS * (0.5, 1.0, 3.0)[operation_type]
        instance.works[ref], instance.operation_types[ref] = work, operation_type
        deadline = (1500.0, 2500.0, 3000.0)[operation_type]
        age = rng.expovariate(0.2)
        if instance.reports_disconnects and rng.random() < 0.3:
            self._schedule(self.now + rng.uniform(50.0, deadline), instance.number, "gone", ref)
        state_bits = (rng.random() < 0.8) | 2 * (repeat_of > 0 or rng.random() < 0.1)
        tenant = rng.choices((0, 1, 2), (5, 3, 3))[0] if instance.number % 2 == 0 else 0
        rank = (operation_type + rng.random()) / 3.0
        return REQUEST.pack(
            2,
            ref,
            age,
            deadline - age,
            tenant,
            rank,
            repeat_of,
            operation_type,
            rng.randrange(8),
            rng.randrange(1, 200) if operation_type == SAFE else 0,
            state_bits,
            work * rng.uniform(0.7, 1.4),
            rng.uniform(5.0, 60.0),
        )

    def _fired(self, instance: Instance, token: int) -> bytes:
        running = len(instance.running)
        gauges = (min(1.0, running / CORES), float(running), min(1.0, 0.02 * len(instance.works)), 20.0)
        return FIRED_HEAD.pack(8, token, len(gauges)) + struct.pack(">4f", *gauges)

    def _run(self, instance: Instance, ref: int) -> None:
        if ref not in instance.works or ref in instance.running:
            return
        instance.paused.discard(ref)
        instance.running[ref] = run = next(self._ids)
        slowdown = max(1.0, len(instance.running) / CORES)
        self._schedule(
            self.now + instance.works[ref] * slowdown * self.random.uniform(0.8, 1.3), instance.number, "run end", ref, run
        )

    def apply_reply(self, records: bytes) -> None:
        """Apply the actions of the instances."""
        instance = self.instances[0]
        for code, arguments in read_actions(records):
            if code == SOURCE:
                instance = self.instances[arguments[0]]
            elif code == WAKE:
                self._schedule(self.now + max(TICK_MS, arguments[0]), instance.number, "fired", arguments[1])
            elif code in ACTION_FIELDS and arguments and isinstance(arguments[0], int):
                self._apply_action(instance, code, arguments)

    def _apply_action(self, instance: Instance, code: int, arguments: tuple) -> None:
        ref = arguments[0]
        if code == KEEP:
            instance.kept[ref] = self.now + arguments[1]
        elif code == FORGET:
            instance.kept.pop(ref, None)
        elif ref not in instance.works:
            return
        elif code == RUN:
            self._run(instance, ref)
        elif code == STOP and ref in instance.running:
            del instance.running[ref]
            instance.paused.add(ref)
            self._schedule(self.now, instance.number, "stopped", ref)
        elif code in (REJECT, FAIL):
            if ref in instance.called:
                self._schedule(self.now, instance.number, "ended", ref, 7)
            elif ref not in instance.running:
                instance.forget(ref)
        elif code == CALL:
            self._schedule(self.now + self.random.expovariate(1.0 / 30.0), instance.number, "call end", ref)
        elif code == SKIP_CALL:
            self._run(instance, ref)
        elif code == ANSWER_FROM:
            self._schedule(self.now + 5.0, instance.number, "ended", ref, 1)


def tree_environment(tree: Path) -> dict[str, str]:
    """Return the environment in which a child imports the package of this tree."""
    environment = {
        name: value for name, value in os.environ.items() if not name.startswith("MULLEINHATCH_") and name != "NODE_NAME"
    }
    return {**environment, "PYTHONPATH": str(tree)}


def record_session(tree: Path, seconds: float, instances: int = 6, seed: int = 1) -> Recording:
    """Run a simulated world against the adapter of a tree.

    Args:
        tree: Folder of the tree.
        seconds: Duration in virtual time.
        instances: Number of instances that the adapter hosts.
        seed: Seed of all draws of the world.

    Returns:
        The sent bytes and the digest of the replies.

    Raises:
        RuntimeError: If the adapter exits early.
    """
    world, batches, answer = World(instances, seed), [], hashlib.sha256()
    with subprocess.Popen(
        ADAPTER, cwd=tree, env=tree_environment(tree), stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as adapter:
        assert adapter.stdin is not None and adapter.stdout is not None
        for number, (clock, body) in enumerate(world.batches(seconds)):
            batch = BATCH.pack(len(body), clock, number) + body
            batches.append(batch)
            adapter.stdin.write(batch)
            adapter.stdin.flush()
            head = adapter.stdout.read(REPLY.size)
            if len(head) < REPLY.size:
                raise RuntimeError("the adapter exited before the end of the session")
            records = adapter.stdout.read(REPLY.unpack(head)[1])
            answer.update(head + records)
            world.apply_reply(records)
        adapter.stdin.close()
    return Recording(b"".join(batches), answer.hexdigest(), world.requests, world.records)


def replay(tree: Path, batches: bytes) -> Replay:
    """Send recorded batches to the adapter of a tree.

    Args:
        tree: Folder of the tree.
        batches: The batches of a `Recording`.

    Returns:
        Digest and size of the replies, and the processor time of the whole process.

    Raises:
        RuntimeError: If the adapter fails.
    """
    with tempfile.TemporaryFile() as source, tempfile.TemporaryFile() as sink:
        source.write(batches)
        source.seek(0)
        adapter = subprocess.Popen(ADAPTER, cwd=tree, env=tree_environment(tree), stdin=source, stdout=sink)
        _, status, used = os.wait4(adapter.pid, 0)
        adapter.returncode = os.waitstatus_to_exitcode(status)
        if adapter.returncode:
            raise RuntimeError(f"the adapter of {tree} exited with {adapter.returncode}")
        sink.seek(0)
        answer = sink.read()
    return Replay(hashlib.sha256(answer).hexdigest(), len(answer), used.ru_utime + used.ru_stime)
