"""A server crashes partway through an event of a stream: the client gets the stream as complete, without its last pieces.

The servers stream eleven events without a length, so that the answer ends with its connection. While one of them works on a
resumable stream, its process is killed in the middle of the sixth event. Another server is there and could go on. Rule ORDER: a
stream must not end as complete before its last piece.
"""

from __future__ import annotations

import asyncio
import re
import signal
import sys
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

SERVICE, ROUTE = "draft-lm", "assessor-report"
SERVERS, PIECES, CRASH_AT = 6, 11, 6
STREAMS, DEADLINE_MS, CONTACT_S, DOWN_S = 6, 20_000, 3.0, 1.0


class ServerProcess:
    """One server as a process.

    Args:
        ip: Its address.
        seeds: The `control` addresses.
        record: Receives what it tells.

    Attributes:
        crash_on: The line at which the server that tells it is killed; empty for none. One for all servers.
    """

    crash_on = ""

    def __init__(self, ip: str, seeds: list[str], record: lab.Record) -> None:
        self._ip, self._seeds, self._record = ip, seeds, record
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self.has_crashed = False

    async def start(self) -> None:
        """Start the process; each start is a new incarnation."""
        self.has_crashed = False
        arguments = (str(FOLDER / "server.py"), self._ip, SERVICE, *self._seeds)
        self._process = await asyncio.create_subprocess_exec(sys.executable, *arguments, stdout=asyncio.subprocess.PIPE)
        self._reading = asyncio.create_task(self._read(self._process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        while line := (await process.stdout.readline()).decode().strip():
            self._record(f"server {self._ip}: {line}")
            if line == ServerProcess.crash_on:
                ServerProcess.crash_on = ""  # the server that goes on is spared
                self._record(f"server {self._ip}: SIGKILL")
                process.send_signal(signal.SIGKILL)
                self.has_crashed = True

    async def end(self) -> None:
        """End the process."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        await self._reading


async def stream(machine: lab.Machine, record: lab.Record, is_crash: bool) -> tuple[str, lab.Answer]:
    """Send one request and read its stream; return the request's id and the answer."""
    request_id = uuid.uuid4().hex[:16]
    ServerProcess.crash_on = f"half of event {CRASH_AT} of {request_id}" if is_crash else ""
    fields = {"Host": lab.HOST, "Request-Id": request_id, "Request-Deadline": str(DEADLINE_MS)}
    address = (machine.ip, lab.FRONT_PORT)
    answer = await lab.exchange(address, "POST", f"/{ROUTE}/1", fields, b"{}", DEADLINE_MS / 1000.0)
    record(f"client: {request_id} at {machine.name} -> {answer.status} {answer.end}, ends with {answer.body[-40:]!r}")
    return request_id, answer


def missing_pieces(answer: lab.Answer) -> list[int]:
    """Return the pieces that an answer lacks."""
    got = {int(number) for number in re.findall(rb"^id: \d+\ndata: piece (\d+)\n\n", answer.body, re.MULTILINE)}
    return [number for number in range(1, PIECES + 1) if number not in got]


async def scenario(record: lab.Record) -> bool:
    """Return whether the rule was broken."""
    deployment = lab.Deployment(record, zones=["zone-0", "zone-1"])
    servers = [ServerProcess(deployment.ip(3, number), deployment.seeds, record) for number in range(SERVERS)]
    answers: dict[str, lab.Answer] = {}
    try:
        deployment.start_all()
        for server in servers:
            await server.start()
        more = {"target_latency_ms": 8000, "max_attempts": 2, "resumable": True, "gap_aim_ms": 400}
        routes = [lab.route(ROUTE, SERVICE, "streaming", DEADLINE_MS, **more)]
        await lab.put_configuration(deployment, 0, lab.configuration(1, routes, [SERVICE]))
        await lab.wait_until_served(deployment, f"/{ROUTE}/1")
        await asyncio.sleep(CONTACT_S)
        for number in range(STREAMS):
            machine = deployment.fronts[number % len(deployment.fronts)]
            request_id, answers[request_id] = await stream(machine, record, lab.has_trouble())
            await asyncio.sleep(DOWN_S)
            for server in servers:
                if server.has_crashed:
                    await server.end()
                    await server.start()
            await asyncio.sleep(2 * CONTACT_S)
    finally:
        for server in servers:
            await server.end()
        deployment.close()
    short = {request_id: missing_pieces(answer) for request_id, answer in answers.items() if answer.is_complete}
    for request_id, missing in short.items():
        if missing:
            record(f"ORDER {request_id}: the stream ended as complete without the pieces {missing}")
    broken = sum(bool(missing) for missing in short.values())
    print(f"{len(answers)} streams, {len(short)} ended as complete, {broken} of them without their last pieces")
    if not lab.has_trouble() and (broken or len(short) < len(answers)):
        raise lab.CannotRunError("streams were not whole without a disruption")
    return broken > 0


if __name__ == "__main__":
    lab.run_case(FOLDER, scenario)
