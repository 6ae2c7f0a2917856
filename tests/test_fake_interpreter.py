"""The fake interpreter: a fault in it would make tests of instances report wrong results."""

from __future__ import annotations

import asyncio
import json
import sys
from base64 import b64encode

import pytest

from mulleinhatch.testing.fake_interpreter import Interpreter
from mulleinhatch.testing.instance_harness import free_port, keep_environment


class DiscardingWriter:
    """The writer of a link whose peer reads nothing."""

    def write(self, data: bytes) -> None:
        pass

    def close(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False


def apply_command(ref: str) -> bytes:
    return (
        json.dumps({"t": "APPLY", "rid": ref, "route": "signoff", "b64": b64encode(b"1.0 op of a caller").decode()}).encode()
        + b"\n"
    )


@pytest.mark.parametrize("replaced", (False, True))
def test_commands_buffered_on_a_former_link_are_not_run(replaced: bool) -> None:
    """Guards against a run whose command was still buffered when the interpreter was reset or its link replaced."""

    async def play() -> Interpreter:
        host = Interpreter(2, 1.0, 0.0)
        host.record_starts = True
        old = asyncio.StreamReader()
        serving = asyncio.ensure_future(host.serve(old, DiscardingWriter()))
        old.feed_data(apply_command("r1"))
        await asyncio.sleep(0)
        while not host.non_retryable_runs:
            await asyncio.sleep(0)
        old.feed_data(apply_command("r2"))  # wakes the reader, which is not scheduled before the next line
        if replaced:
            host.writer = DiscardingWriter()
        else:
            host.reset()
        old.feed_eof()
        await serving
        return host

    host = asyncio.run(play())
    assert [ref for _, _, ref, _ in host.non_retryable_runs] == ["r1"] and host.incarnation == (1 if replaced else 2)


def test_all_commands_of_one_write_are_read() -> None:
    """Guards against commands left in a buffer: instances killed together are reset by lines that arrive in one read."""

    async def play() -> list[bytes]:
        ports = [free_port(), free_port()]
        host = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mulleinhatch.testing.fake_interpreter",
            f"{ports[0]},{ports[1]}",
            "1",
            "1.0",
            "0.0",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            assert await host.stdout.readline() == b"up\n"
            host.stdin.write(b"reset 0\nreset 1\nbegun 0\nbegun 1\nbeg")
            replies = [await asyncio.wait_for(host.stdout.readline(), 10.0) for _ in range(2)]
            host.stdin.write(b"un 1\n")
            return [*replies, await asyncio.wait_for(host.stdout.readline(), 10.0)]
        finally:
            host.kill()
            await host.wait()

    keep_environment()
    assert asyncio.run(play()) == 3 * [b"0\n"]
