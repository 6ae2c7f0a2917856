"""A dependency that repeats its answers: a copy of a rejection settles no later call, on real sockets."""

from __future__ import annotations

import asyncio
import time
import unittest

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.protocol import http_peers
from mulleinhatch.instance.transport.peer_connections import PeerConnections

REJECTION = b"HTTP/1.1 503 Busy\r\nNever-Started: 1\r\nContent-Length: 0\r\n\r\n"
RESULT = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
TIMEOUT_S = 2.0
EXECUTION_S = 0.02


class RepeatingDependency:
    """Rejects the first call; a copy of the rejection comes where the next answer on its connection is due."""

    def __init__(self) -> None:
        self.executed = 0
        self._has_rejected = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        copy = b""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(b"query"))
                if not self._has_rejected:
                    self._has_rejected, copy = True, REJECTION
                    writer.write(REJECTION)
                    continue
                self.executed += 1
                writer.write(copy)
                await writer.drain()
                await asyncio.sleep(EXECUTION_S)
                writer.write(RESULT)
                copy = b""
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


class RepeatedCallAnswers(unittest.IsolatedAsyncioTestCase):
    # Guards against a call that ran and that counts as never started, so that it would be made again.
    async def test_a_repeated_rejection_does_not_settle_a_later_call(self):
        dependency = RepeatingDependency()
        server = await asyncio.start_server(dependency.serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        peers = PeerConnections(4, http_peers.parse_dependency_response_head, time.monotonic)
        try:
            answers = [
                await peers.request(address, http_peers.write_dependency_call(ref, b"query", 1000.0, address), TIMEOUT_S)
                for ref in ("c1", "c2")
            ]
        finally:
            peers.close()
            server.close()
        self.assertEqual(answers, [(Ending.FULL, b""), (Ending.OK, b"done")])
        self.assertEqual(dependency.executed, 1)


if __name__ == "__main__":
    unittest.main()
