"""Hosts many instances for the simulator: frames on standard input and output, one `AdmissionController` per instance.

Each batch of events is answered by one reply with the resulting decisions. Numbers are big-endian, times are milliseconds.
"""

from __future__ import annotations

import struct
import sys
from collections.abc import Callable
from enum import IntEnum
from typing import BinaryIO

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.instance.deployment_settings import parse_deployment, split_profile_lines

BATCH_HEADER = struct.Struct(">IdI")  # body bytes, time, number of the batch
REPLY_HEADER = struct.Struct(">III")  # number of records, bytes of records, number of the batch
U8, U16, U32, U64, F32, F64 = (struct.Struct(">" + mark) for mark in "BHIQfd")
REF_AND_TIME = struct.Struct(">Qd")
REQUEST = struct.Struct(">QddHfQBHQBdf")
RESULT = struct.Struct(">QHd")
HAS_WORK_HINT, IS_RETRY = 1, 2  # bits of a request's flags
MS_PER_S = 1000.0
MAX_ERROR_BYTES = 65535


class Event(IntEnum):
    """Codes of the records that the simulator sends."""

    CREATE = 1
    REQUEST = 2
    RESULT = 3
    AWAITS_CALL = 4
    CALL_ENDED = 5
    RETIRE = 6
    ABANDONED = 7
    TIMER_FIRED = 8
    KILLED = 9
    TARGET_INSTANCE = 10  # the following records belong to that instance


SOURCE_INSTANCE = b"\x50"  # the following decisions belong to that instance
MODULE_ERROR = b"\x4f"

# The record of each decision. Verbs without one need peers or a retry-storm detector, which a simulated host never reports.
DECISION_ENCODERS: dict[Verb, Callable[[Decision], bytes]] = {
    Verb.RUN: lambda decision: b"\x41" + U64.pack(decision.ref),
    Verb.REJECT: lambda decision: (
        b"\x42" + REF_AND_TIME.pack(decision.ref, decision.seconds * MS_PER_S) + U8.pack(decision.flag)
    ),
    Verb.FAIL: lambda decision: b"\x43" + U64.pack(decision.ref),
    Verb.STOP: lambda decision: b"\x44" + U64.pack(decision.ref),
    Verb.CALL: lambda decision: b"\x45" + REF_AND_TIME.pack(decision.ref, decision.seconds * MS_PER_S),
    Verb.SKIP_CALL: lambda decision: b"\x46" + U64.pack(decision.ref),
    Verb.KEEP: lambda decision: b"\x47" + REF_AND_TIME.pack(decision.ref, decision.seconds * MS_PER_S),
    Verb.FORGET: lambda decision: b"\x48" + U64.pack(decision.ref),
    Verb.ANSWER_FROM: lambda decision: b"\x49" + U64.pack(decision.ref),
    Verb.HEALTH: lambda decision: b"\x4a" + U8.pack(decision.flag) + b"\x01",
    Verb.ADVISE: lambda decision: b"\x4b" + F32.pack(decision.level),
    Verb.TRIM: lambda decision: b"\x4c" + F64.pack(decision.seconds * MS_PER_S),
    Verb.WAKE: lambda decision: b"\x4d" + F64.pack(decision.seconds * MS_PER_S) + U64.pack(decision.ref),
}


class MalformedFrameError(Exception):
    """The input violates the wire format; the message names the violation and its byte offset in the input."""


class FrameReader:
    """Reads the body of one batch sequentially.

    Args:
        body: The bytes of the body.
        start: Offset of the body in the whole input.
    """

    def __init__(self, body: bytes, start: int) -> None:
        self._body, self._start, self._offset = body, start, 0

    @property
    def input_offset(self) -> int:
        """The offset of the next read in the whole input."""
        return self._start + self._offset

    def is_at_end(self) -> bool:
        """Return whether the whole body was read."""
        return self._offset >= len(self._body)

    def read(self, layout: struct.Struct) -> tuple:
        """Read the fields of a layout.

        Raises:
            MalformedFrameError: The body is shorter.
        """
        if self._offset + layout.size > len(self._body):
            raise MalformedFrameError(f"record cut short at byte {self.input_offset}")
        fields = layout.unpack_from(self._body, self._offset)
        self._offset += layout.size
        return fields

    def read_number(self, layout: struct.Struct) -> int | float:
        """Read the only field of a layout."""
        (number,) = self.read(layout)
        return number

    def read_bytes(self, count: int) -> bytes:
        """Read `count` raw bytes."""
        (content,) = self.read(struct.Struct(f"{count}s"))
        return content


class InstanceHost:
    """Holds the controllers of all simulated instances, passes events to them and encodes their decisions.

    Attributes:
        current: Number of the instance that was handled last; errors are reported for it.
    """

    def __init__(self) -> None:
        self._controllers: dict[int, AdmissionController] = {}
        self.current = 0

    def answer(self, reader: FrameReader, now: float) -> tuple[int, bytes]:
        """Handle the events of a batch, and return the count and the bytes of the reply's records."""
        touched: dict[int, None] = {}  # instances in the order of their first event
        instance: int | None = None
        while not reader.is_at_end():
            offset = reader.input_offset
            code = reader.read_number(U8)
            if code == Event.TARGET_INSTANCE:
                instance = reader.read_number(U16)
                continue
            if instance is None:
                raise MalformedFrameError(f"record {code} before any instance at byte {offset}")
            touched[instance], self.current = None, instance
            self._handle_event(instance, code, reader, now, offset)
        return self._encode_decisions(touched, now)

    def _handle_event(self, instance: int, code: int, reader: FrameReader, now: float, offset: int) -> None:
        if code == Event.CREATE:
            seed, size = reader.read_number(U64), reader.read_number(U32)
            self._controllers[instance] = create_controller(reader.read_bytes(size), seed, now, offset)
        elif code == Event.KILLED:
            self._controllers.pop(instance, None)
        elif instance not in self._controllers:
            raise MalformedFrameError(f"record {code} for instance {instance}, not started, at byte {offset}")
        else:
            report_event(self._controllers[instance], code, reader, now, offset)

    def _encode_decisions(self, instances: dict[int, None], now: float) -> tuple[int, bytes]:
        records: list[bytes] = []
        for instance in instances:
            self.current = instance
            if instance in self._controllers:
                decisions = pull_decisions(self._controllers[instance], now)
                encoded = [DECISION_ENCODERS[decision.verb](decision) for decision in decisions]
                records += [SOURCE_INSTANCE + U16.pack(instance), *encoded] if encoded else []
        return len(records), b"".join(records)


def create_controller(settings: bytes, seed: int, now: float, offset: int) -> AdmissionController:
    """Create the controller of an instance from the `name=value` lines that the simulator sends at its start."""
    try:
        parsed = parse_deployment(split_profile_lines(settings.decode()))
    except ValueError as error:
        raise MalformedFrameError(f"unreadable opening pairs at byte {offset}: {error}") from None
    return AdmissionController(parsed, seed, now)


def report_event(controller: AdmissionController, code: int, reader: FrameReader, now: float, offset: int) -> None:
    """Read the rest of an event's record and pass it to a controller."""
    if code == Event.REQUEST:
        report_request(controller, reader, now)
    elif code == Event.RESULT:
        ref, ending, _ = reader.read(RESULT)
        controller.record_run_end(now, ref, ending)
    elif code == Event.AWAITS_CALL:
        controller.record_call_request(now, reader.read_number(U64))
    elif code == Event.CALL_ENDED:
        ref, ending, _ = reader.read(RESULT)
        controller.record_call_end(now, ref, ending)
    elif code == Event.RETIRE:
        controller.begin_drain(now, reader.read_number(F64) / MS_PER_S)
    elif code == Event.ABANDONED:
        controller.record_abandonment(now, reader.read_number(U64))
    elif code == Event.TIMER_FIRED:
        token, count = reader.read_number(U64), reader.read_number(U8)
        controller.handle_wakeup(now, token, reader.read(struct.Struct(f">{count}f")))
    else:
        raise MalformedFrameError(f"unknown record code {code} at byte {offset}")


def report_request(controller: AdmissionController, reader: FrameReader, now: float) -> None:
    """Read a request's record and pass it to a controller."""
    (ref, age_ms, wait_ms, tenant, _, repeat_of, type_number, caller, _, flags, work, memory_kb) = reader.read(REQUEST)
    controller.record_arrival(
        now,
        ref,
        type_number,
        age_ms / MS_PER_S,
        wait_ms / MS_PER_S,
        tenant,
        repeat_of,
        caller,
        work / MS_PER_S if flags & HAS_WORK_HINT else 0.0,
        memory_kb,
        bool(flags & IS_RETRY),
    )


def pull_decisions(controller: AdmissionController, now: float) -> list[Decision]:
    """Ask a controller for decisions until there is none."""
    return list(iter(lambda: controller.next_decision(now), None))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        MalformedFrameError: The input violates the wire format.
    """
    host, offset = InstanceHost(), 0
    while header := source.read(BATCH_HEADER.size):
        if len(header) < BATCH_HEADER.size:
            raise MalformedFrameError(f"batch header cut short at byte {offset + len(header)}")
        size, clock_ms, number = BATCH_HEADER.unpack(header)
        body = source.read(size)
        body_offset = offset + BATCH_HEADER.size
        if len(body) < size:
            raise MalformedFrameError(f"batch {number} cut short at byte {body_offset + len(body)}")
        try:
            count, records = host.answer(FrameReader(body, body_offset), clock_ms / MS_PER_S)
        except MalformedFrameError:
            raise
        except Exception as error:  # any exception of a controller is reported to the simulator as a record
            count, records = 2, encode_error(host.current, error)
        sink.write(REPLY_HEADER.pack(count, len(records), number) + records)
        sink.flush()
        offset = body_offset + size


def encode_error(instance: int, error: Exception) -> bytes:
    """Return the two records that report an error of an instance."""
    text = f"{type(error).__name__}: {error}".encode()[:MAX_ERROR_BYTES]
    return b"".join((SOURCE_INSTANCE, U16.pack(instance), MODULE_ERROR, U16.pack(len(text)), text))


def main() -> int:
    """Serve standard input and output; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedFrameError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0
