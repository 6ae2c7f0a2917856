"""A server as a process of its own: it streams drafts of eleven events, without a length, and can be killed at any moment.

Usage: server.py ADDRESS SERVICE SEED... It tells on standard output what it runs and how far each stream is.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import lab  # noqa: E402

PIECES, HALF_EVENT_S, SLOTS = 11, 0.04, 64


def say(text: str) -> None:
    """Write one line to standard output."""
    print(text, flush=True)


async def work(server: lab.Server, echo: dict[str, str], path: str, body: bytes, writer: asyncio.StreamWriter) -> None:
    """Stream the events after `Last-Event-Id`; the answer has no length and ends with its connection."""
    run = next(run for run in reversed(server.runs) if run.request_id == echo["Request-Id"])
    head = {**echo, "Server-Signature": server.signature(), "Content-Type": "text/event-stream", "Connection": "close"}
    writer.write("".join(["HTTP/1.1 200 OK\r\n", *(f"{name}: {value}\r\n" for name, value in head.items()), "\r\n"]).encode())
    for number in range(int(run.fields.get("last-event-id", "0")) + 1, PIECES + 1):
        writer.write(f"id: {number}\n".encode())
        say(f"half of event {number} of {run.request_id}")
        await asyncio.sleep(HALF_EVENT_S)
        writer.write(f"data: piece {number}\n\n".encode())
        await asyncio.sleep(HALF_EVENT_S)
    say(f"end of {run.request_id}")
    await writer.drain()
    writer.close()


async def main(ip: str, service: str, seeds: list[str]) -> None:
    """Serve until killed."""
    place = SimpleNamespace(ip=lambda kind, number: ip, seeds=seeds)
    server = lab.Server(place, 0, service, SLOTS, work, say)
    await server.start()
    say(f"is {server.id}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], sys.argv[3:]))
