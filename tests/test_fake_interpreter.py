"""The stand-ins themselves: where one of them is wrong, what it shows of an instance is, too."""

from __future__ import annotations

import asyncio
import json
import sys
from base64 import b64encode

import pytest

from mulleinhatch.testing.fake_interpreter import Interpreter
from mulleinhatch.testing.instance_harness import free_port, keep_environment


class Deaf:
    """The writer of a link that nobody reads."""

    def write(self, data: bytes) -> None:
        pass

    def close(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False


def command(ref: str) -> bytes:
    return (
        json.dumps({"t": "APPLY", "rid": ref, "route": "signoff", "b64": b64encode(b"1.0 op of a caller").decode()}).encode()
        + b"\n"
    )


@pytest.mark.parametrize("replaced", (False, True))
def test_what_a_link_of_before_still_holds_is_run_by_nobody(replaced: bool) -> None:
    """The command lies read on the old link when its instance dies, or when a new link takes its place."""

    async def play() -> Interpreter:
        host = Interpreter(2, 1.0, 0.0)
        host.keep_starts = True
        old = asyncio.StreamReader()
        serving = asyncio.ensure_future(host.serve(old, Deaf()))
        old.feed_data(command("r1"))
        await asyncio.sleep(0)
        while not host.once:
            await asyncio.sleep(0)
        old.feed_data(command("r2"))  # it wakes the reader, which gets no turn before the next line
        if replaced:
            host.writer = Deaf()
        else:
            host.reset()
        old.feed_eof()
        await serving
        return host

    host = asyncio.run(play())
    assert [ref for _, _, ref, _ in host.once] == ["r1"] and host.incarnation == (1 if replaced else 2)


def test_the_host_of_interpreters_hears_all_lines_of_one_write() -> None:
    """Instances that are killed together are told of in one write, or are read at one time: no line may be left over."""

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
            said = [await asyncio.wait_for(host.stdout.readline(), 10.0) for _ in range(2)]
            host.stdin.write(b"un 1\n")
            return [*said, await asyncio.wait_for(host.stdout.readline(), 10.0)]
        finally:
            host.kill()
            await host.wait()

    keep_environment()
    assert asyncio.run(play()) == 3 * [b"0\n"]
