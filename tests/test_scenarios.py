"""Scenarios of the admission controller and of an instance on sockets, the simulator adapter, and process start and stop.

A scenario in `scenarios/` consists of a deployment, then lines with a time and an event. `>` lists all decisions that follow,
in order, `~` some of them; wake-ups are omitted. `all nack 3` checks how many decisions of a kind were taken so far.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import socket
import struct
import subprocess
import sys
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import pytest

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.interface import Advice, Decision, Effect, StopMode, Verb
from mulleinhatch.instance.protocol.http_requests import MAX_BODY_BYTES, MAX_HEAD_BYTES, RequestReader
from mulleinhatch.instance.transport.connections import Connections
from mulleinhatch.instance.transport.stream import GatheringStream
from mulleinhatch.networking.http_grammar import HEAD_END, BadRequestError
from standins import FakeInterpreter, SocketScenario, default_settings

ROOT = Path(__file__).parent
KINDS = {kind.value: kind for family in (Effect, Advice, StopMode) for kind in family}


def parse_value(text: str) -> object:
    return KINDS.get(text) or json.loads(text)


def parse_fields(fields: list[str]) -> dict[str, object]:
    """
    >>> parse_fields(["importance=5", "effect=keyed"])
    {'importance': 5, 'effect': <Effect.KEYED: 'keyed'>}
    """
    return {name: parse_value(text) for name, text in (field.split("=") for field in fields)}


def describe_decision(decision: Decision) -> str:
    details = {Verb.HEALTH: " good" if decision.flag else " bad", Verb.ADVISE: "", Verb.TRIM: f" {decision.seconds:.0f}"}
    if decision.verb is Verb.REJECT and decision.flag:
        return f"nack {decision.ref} for good"
    return decision.verb.value + details.get(decision.verb, f" {decision.ref}")


class ScenarioRunner:
    def __init__(self) -> None:
        self.deployment: dict = {"op_types": [], "tenants": [], "cores": 2}
        self.controller: AdmissionController | None = None
        self.now = 0.0
        self.decisions: list[str] = []
        self.counts: Counter[str] = Counter()

    def run_line(self, text: str) -> None:
        keyword, *rest = text.split()
        if keyword in ("deployment", "type", "tenant"):
            target = {"type": "op_types", "tenant": "tenants"}.get(keyword)
            self.deployment[target].append(parse_fields(rest)) if target else self.deployment.update(parse_fields(rest))
        elif keyword == ">":
            assert self.decisions == [said.strip() for said in " ".join(rest).split(",") if said]
        elif keyword == "~":
            assert set(said.strip() for said in " ".join(rest).split(",")) <= set(self.decisions), self.decisions
        elif keyword == "all":
            assert self.counts[" ".join(rest[:-1])] == int(rest[-1]), self.counts
        else:
            self.report_event(float(keyword), *rest)

    def report_event(self, now: float, what: str, *rest: str) -> None:
        self.now = now
        self.controller = self.controller or AdmissionController(self.deployment, 7, 0.0)
        for ref in self.refs(rest):
            self.report(what, ref, parse_fields([argument for argument in rest if "=" in argument]))
        self.decisions = []
        while decision := self.controller.next_decision(now):
            self.counts[decision.verb.value] += 1
            if decision.verb is not Verb.WAKE:
                self.decisions.append(describe_decision(decision))

    @staticmethod
    def refs(arguments: tuple[str, ...]) -> list[int]:
        """Return request ids: `3` is one, `3-6` are four; no id is an event without a request."""
        first, _, last = next((argument for argument in arguments if "=" not in argument), "0").partition("-")
        return list(range(int(first), int(last or first) + 1))

    def report(self, what: str, ref: int, more: dict) -> None:
        controller, get = self.controller, more.get
        if what == "op":
            controller.record_arrival(
                self.now,
                ref,
                get("type", 0),
                get("age", 0.0),
                get("wait", 0.0),
                get("tenant", 0),
                get("repeats", 0),
                get("caller", 0),
                get("work", 0.0),
                get("kb", 1.0),
                bool(get("again", 0)),
            )
        elif what == "ended":
            controller.record_run_end(self.now, ref, get("ending", 1))
        elif what == "wants-call":
            controller.record_call_request(self.now, ref)
        elif what == "call-ended":
            controller.record_call_end(self.now, ref, get("ending", 1))
        elif what == "gone":
            controller.record_abandonment(self.now, ref)
        elif what == "part":
            controller.set_tenant_budget(self.now, get("tenant", 0), get("window", 1.0), [(get("units"), get("until", 1e9))])
        elif what == "leave":
            controller.begin_drain(self.now, get("within", 5.0))
        else:
            gauges = self.deployment.get("gauges", [])
            controller.handle_wakeup(self.now, controller.wakeup_token, [get(name, 1.0) for name in gauges])


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.txt")), ids=lambda path: path.stem)
def test_scenario(path: Path) -> None:
    runner = ScenarioRunner()
    for number, text in enumerate(path.read_text().splitlines(), 1):
        if text.strip() and not text.startswith("#"):
            try:
                runner.run_line(text)
            except AssertionError as error:
                raise AssertionError(f"{path.name}:{number}: {text}\n{error}") from None


def run_adapter(frames: bytes) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "mulleinhatch.benchlink"], input=frames, capture_output=True, cwd=ROOT.parent, timeout=60
    )


def encode_batch(body: bytes, number: int = 1) -> bytes:
    return struct.pack(">IdI", len(body), 240.0, number) + body


def test_a_batch_through_the_adapter() -> None:
    pairs = b"family_info.cores=1\nclasses.count=1\nclasses.0.aim=1000.0\nclasses.0.deadline=2000.0\nnovel=1"
    create = b"\x0a\x00\x03\x01" + struct.pack(">QI", 9, len(pairs)) + pairs
    request = b"\x02" + struct.pack(">QddHfQBHQBdf", 77, 1.5, 900.0, 0, 0.5, 0, 0, 4, 0, 1, 12.0, 8.0)
    done = run_adapter(encode_batch(create + request))
    assert done.returncode == 0 and not done.stderr
    assert done.stdout[8:12] == struct.pack(">I", 1)
    assert done.stdout[12:24] == b"\x50\x00\x03\x41" + struct.pack(">Q", 77)


@pytest.mark.parametrize(
    "frames, complaint",
    [
        (encode_batch(b"\x0a\x00\x03\xee"), b"byte 19"),
        (encode_batch(b"\x0a\x00"), b"byte 17"),
        (encode_batch(b"")[:9], b"byte 9"),
    ],
)
def test_malformed_input_is_reported_in_one_line(frames: bytes, complaint: bytes) -> None:
    done = run_adapter(frames)
    assert done.returncode != 0 and done.stderr.count(b"\n") == 1 and complaint in done.stderr


@pytest.mark.parametrize("path", sorted(ROOT.glob("scenarios/sockets/*.txt")), ids=lambda path: path.stem)
def test_socket_scenario(path: Path) -> None:
    asyncio.run(SocketScenario().run_file(path))


def test_a_closed_stream_has_no_unread_bytes() -> None:
    """Its connection is an eviction candidate until its coroutine runs; an error in the check failed every accept."""

    async def close_with_unread_bytes() -> bool:
        ours, theirs = socket.socketpair()
        stream = GatheringStream(ours)
        theirs.send(b"x")
        before = stream.has_unread()
        stream.close()
        theirs.close()
        return before and not stream.has_unread()

    assert asyncio.run(close_with_unread_bytes())


def test_connections_that_wait_too_long_in_the_backlog_are_shed() -> None:
    """Deadlines of requests in the backlog approach: connections that cannot be accepted soon must fail, not time out."""

    async def accept_many() -> tuple[int, int, int]:
        now, counts = [5.0], Counter()
        observer = SimpleNamespace(count=lambda counter: counts.update([counter]), on_connection_accepted=lambda: None)
        connections = Connections(100, RequestReader, lambda: now[0], observer)
        with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
            listener.setblocking(False)
            clients = [socket.create_connection(listener.getsockname()) for _ in range(40)]
            connections.listener._accept(listener, 0)
            taken, now[0] = len(connections.open), 5.3
            connections.listener._accept(listener, 0)
            clients.append(socket.create_connection(listener.getsockname()))
            connections.listener._accept(listener, 0)
            for sock in clients:
                sock.close()
        return taken, counts["connections_shed"], len(connections.open)

    taken, shed, open_at_last = asyncio.run(accept_many())
    assert 0 < taken < 40 and taken + shed == 40 and open_at_last == taken + 1


def test_a_request_split_at_any_byte_is_parsed() -> None:
    text = b"POST /svc/read HTTP/1.1\r\nX-Request-Id: r1\r\nContent-Length: 3\r\n\r\n\r\n!GET /x HTTP/1.1\r\n\r\n"
    for cut in range(len(text) + 1):
        reader, found = RequestReader(), []
        for piece in (text[:cut], text[cut:]):
            reader.free_space()[: len(piece)] = piece
            reader.filled(len(piece))
            while message := reader.message():
                found.append((message[1], message[3]))
        assert found == [(b"/svc/read", b"\r\n!"), (b"/x", b"")], cut


@pytest.mark.parametrize("first", [1, 2048, MAX_HEAD_BYTES - 1, MAX_HEAD_BYTES, MAX_HEAD_BYTES + MAX_BODY_BYTES])
def test_the_head_limit_is_independent_of_read_sizes(first: int) -> None:
    """The head arrives in one read, or with more bytes after it; a reader that waits for more always has buffer space."""
    for length in (
        MAX_HEAD_BYTES - 1,
        MAX_HEAD_BYTES,
        MAX_HEAD_BYTES + 1,
        MAX_HEAD_BYTES + 500,
        MAX_HEAD_BYTES + MAX_BODY_BYTES - 1,
        MAX_HEAD_BYTES + MAX_BODY_BYTES,
    ):
        head_prefix = b"POST /svc/a HTTP/1.1\r\nContent-Length: %d\r\nX-Long: " % MAX_BODY_BYTES
        text = head_prefix + (length - len(head_prefix) - len(HEAD_END)) * b"a" + HEAD_END + MAX_BODY_BYTES * b"b"
        reader, found, most = RequestReader(), None, first
        while text and not found:
            free_space_left = reader.free_space()
            assert free_space_left, f"waits for more of a head of {length} bytes without buffer space"
            count = min(most, len(free_space_left), len(text))
            free_space_left[:count], text, most = text[:count], text[count:], len(free_space_left)
            reader.filled(count)
            try:
                found = reader.message()
            except BadRequestError as error:
                found = error.status
        assert (found == 431) == (length > MAX_HEAD_BYTES) and found, length


def run_command(folder: Path, node_config: dict, *arguments: str) -> subprocess.CompletedProcess:
    (folder / "settings.json").write_text(json.dumps(node_config))
    return subprocess.run(
        [sys.executable, "-m", "mulleinhatch", *arguments, "--config", folder / "settings.json"],
        capture_output=True,
        text=True,
        cwd=ROOT.parent,
        timeout=60,
    )


async def serve_and_stop(node_config: dict, path: Path) -> tuple[int, str]:
    """Run a real process on loopback: it serves a request, receives SIGTERM and exits by itself."""
    interpreter = FakeInterpreter()
    interpreter.banner = {"t": "BANNER", "status": "new", "time_ms": 0.0}
    server = await asyncio.start_server(interpreter.serve, "127.0.0.1", 0)
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    node_config = {
        **node_config,
        "vm": "127.0.0.1:%d" % server.sockets[0].getsockname()[1],
        "stop_ms": 300,
        "listen": f"127.0.0.1:{port}",
    }
    path.write_text(json.dumps(node_config))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-O", "-m", "mulleinhatch", "serve", "--config", path, cwd=ROOT.parent, stderr=asyncio.subprocess.PIPE
    )
    assert (await interpreter.received.get())["t"] == "CONNECT"
    scenario = SocketScenario()
    scenario.instance = argparse.Namespace(port=port)
    await scenario.caller_sends("a", "r1", "sign")
    interpreter.end_run((await interpreter.received.get())["rid"], "good", "out")
    await scenario.caller_hears("a", "200", "out")
    process.terminate()
    log = (await process.communicate())[1].decode()
    server.close()
    return process.returncode, log


def test_a_process_serves_a_request_and_stops_on_sigterm(tmp_path: Path) -> None:
    run = serve_and_stop(default_settings(), tmp_path / "settings.json")
    status, log = asyncio.run(asyncio.wait_for(run, 20))
    assert status == 0 and "Traceback" not in log, log
    assert "event=stopped" in log and "answers_200=1" in log.splitlines()[-1], log


def test_an_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as holder:
        node_config = {**default_settings(), "listen": "127.0.0.1:%d" % holder.getsockname()[1]}
        done = run_command(tmp_path, node_config, "serve", "--log", "error")
    assert done.returncode == 1 and done.stderr.count("\n") == 1 and "127.0.0.1" in done.stderr, done.stderr


@pytest.mark.parametrize(
    "path, value, complaint",
    [
        ("vm", "nowhere", "vm:"),
        ("stop_ms", "soon", "stop_ms:"),
        ("limits.sockets", 3, "limits.sockets:"),
        ("settings.classes", ["read"], "settings.classes:"),
        ("settings.tick", "x", "settings.tick:"),
    ],
)
def test_check_names_the_faulty_key(tmp_path: Path, path: str, value: object, complaint: str) -> None:
    node_config = default_settings()
    parent, (*parent_keys, last) = node_config, path.split(".")
    for key in parent_keys:
        parent = parent[key]
    parent[last] = value
    done = run_command(tmp_path, node_config, "check")
    assert done.returncode == 2 and complaint in done.stderr and done.stderr.count("\n") == 1, done.stderr
