"""Frames on standard input and output, one `AdmissionController` for each instance the wire names."""

from __future__ import annotations

import struct
import sys
from typing import BinaryIO

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Decision, Verb
from mulleinhatch.instance.deployment_settings import parse_deployment, split_profile_lines

BATCH = struct.Struct(">IdI")
REPLY = struct.Struct(">III")
U8, U16, U32, U64, F64 = (struct.Struct(">" + mark) for mark in "BHIQd")
REF_TIME = struct.Struct(">Qd")
REQUEST = struct.Struct(">QddHfQBHQBdf")
RESULT = struct.Struct(">QHd")
TARGET_INSTANCE, CREATE, REQUEST_CODE, RESULT_CODE, STALLED, CALL_DONE, RETIRE = 10, 1, 2, 3, 4, 5, 6
ABANDONED, FIRED, KILLED = 7, 8, 9
HINT, FURTHER_TRY = 1, 2

WORDS = {
    Verb.RUN: lambda d: b"\x41" + U64.pack(d.ref),
    Verb.NACK: lambda d: b"\x42" + REF_TIME.pack(d.ref, d.seconds * 1000.0) + U8.pack(d.flag),
    Verb.FAIL: lambda d: b"\x43" + U64.pack(d.ref),
    Verb.STOP: lambda d: b"\x44" + U64.pack(d.ref),
    Verb.CALL: lambda d: b"\x45" + REF_TIME.pack(d.ref, d.seconds * 1000.0),
    Verb.SKIP_CALL: lambda d: b"\x46" + U64.pack(d.ref),
    Verb.KEEP: lambda d: b"\x47" + REF_TIME.pack(d.ref, d.seconds * 1000.0),
    Verb.FORGET: lambda d: b"\x48" + U64.pack(d.ref),
    Verb.ANSWER_FROM: lambda d: b"\x49" + U64.pack(d.ref),
    Verb.HEALTH: lambda d: b"\x4a" + U8.pack(d.flag) + b"\x01",
    Verb.ADVISE: lambda d: b"\x4b" + struct.pack(">f", d.level),
    Verb.TRIM: lambda d: b"\x4c" + F64.pack(d.seconds * 1000.0),
    Verb.WAKE: lambda d: b"\x4d" + F64.pack(d.seconds * 1000.0) + U64.pack(d.ref),
}


class MalformedFrameError(Exception):
    """The wire broke its form; the text says what and at which byte of the input."""


class Frame:
    """The body of one batch, read from front to back."""

    def __init__(self, body: bytes, start: int) -> None:
        self.body, self.start, self.at = body, start, 0

    def take(self, shape: struct.Struct) -> tuple:
        if self.at + shape.size > len(self.body):
            raise MalformedFrameError(f"record cut short at byte {self.start + self.at}")
        fields = shape.unpack_from(self.body, self.at)
        self.at += shape.size
        return fields

    def take_bytes(self, count: int) -> bytes:
        return self.take(struct.Struct(f"{count}s"))[0]


class Link:
    """Hosts the instances and turns records into calls and decisions into records."""

    def __init__(self) -> None:
        self.hatches: dict[int, AdmissionController] = {}
        self.current = 0

    def answer(self, frame: Frame, now: float) -> tuple[int, bytes]:
        """The reply's record count and records."""
        touched: dict[int, None] = {}
        instance: int | None = None
        while frame.at < len(frame.body):
            place = frame.start + frame.at
            (code,) = frame.take(U8)
            if code == TARGET_INSTANCE:
                (instance,) = frame.take(U16)
                continue
            if instance is None:
                raise MalformedFrameError(f"record {code} before any instance at byte {place}")
            touched[instance], self.current = None, instance
            if code == CREATE:
                seed, size = *frame.take(U64), *frame.take(U32)
                self.hatches[instance] = self.create(frame.take_bytes(size), seed, now, place)
            elif code == KILLED:
                self.hatches.pop(instance, None)
            elif instance not in self.hatches:
                raise MalformedFrameError(f"record {code} for instance {instance}, not started, at byte {place}")
            else:
                self.tell(self.hatches[instance], code, frame, now, place)
        records: list[bytes] = []
        for instance in touched:
            self.current = instance
            if instance in self.hatches:
                words = [WORDS[d.verb](d) for d in decisions(self.hatches[instance], now)]
                records += [b"\x50" + U16.pack(instance), *words] if words else []
        return len(records), b"".join(records)

    @staticmethod
    def create(profile: bytes, seed: int, now: float, place: int) -> AdmissionController:
        try:
            facts = parse_deployment(split_profile_lines(profile.decode()))
        except ValueError as error:
            raise MalformedFrameError(f"unreadable opening pairs at byte {place}: {error}") from None
        return AdmissionController(facts, seed, now)

    @staticmethod
    def tell(hatch: AdmissionController, code: int, frame: Frame, now: float, place: int) -> None:
        if code == REQUEST_CODE:
            (ref, age, wait, tenant, _, repeat_of, op_type, caller, _, bits, work, held_kb) = frame.take(REQUEST)
            hatch.op_read(
                now,
                ref,
                op_type,
                age / 1000.0,
                wait / 1000.0,
                tenant,
                repeat_of,
                caller,
                work / 1000.0 if bits & HINT else 0.0,
                held_kb,
                bool(bits & FURTHER_TRY),
            )
        elif code == RESULT_CODE:
            ref, ending, _ = frame.take(RESULT)
            hatch.run_ended(now, ref, ending)
        elif code == STALLED:
            hatch.call_wanted(now, *frame.take(U64))
        elif code == CALL_DONE:
            ref, ending, _ = frame.take(RESULT)
            hatch.call_ended(now, ref, ending)
        elif code == RETIRE:
            hatch.leave_notice(now, frame.take(F64)[0] / 1000.0)
        elif code == ABANDONED:
            hatch.op_abandoned(now, *frame.take(U64))
        elif code == FIRED:
            token, count = *frame.take(U64), *frame.take(U8)
            hatch.woken(now, token, frame.take(struct.Struct(f">{count}f")))
        else:
            raise MalformedFrameError(f"unknown record code {code} at byte {place}")


def decisions(hatch: AdmissionController, now: float) -> list[Decision]:
    return list(iter(lambda: hatch.next_decision(now), None))


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    link, read = Link(), 0
    while header := source.read(BATCH.size):
        if len(header) < BATCH.size:
            raise MalformedFrameError(f"batch header cut short at byte {read + len(header)}")
        size, clock, number = BATCH.unpack(header)
        body = source.read(size)
        if len(body) < size:
            raise MalformedFrameError(f"batch {number} cut short at byte {read + BATCH.size + len(body)}")
        try:
            count, records = link.answer(Frame(body, read + BATCH.size), clock / 1000.0)
        except MalformedFrameError:
            raise
        except Exception as error:  # whatever the module throws, the host is told in the wire's own way
            text = f"{type(error).__name__}: {error}".encode()[:65535]
            words = (b"\x50", U16.pack(link.current), b"\x4f", U16.pack(len(text)), text)
            count, records = 2, b"".join(words)
        sink.write(REPLY.pack(count, len(records), number) + records)
        sink.flush()
        read += BATCH.size + size


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedFrameError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 1
    return 0
