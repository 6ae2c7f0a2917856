"""A minimal TCP relay: copies bytes between each client connection and a connection to a backend.

`python -m benchmarks.plain_relay LISTEN BACKEND`, both HOST:PORT. It does not parse HTTP; `benchmarks.exchange` compares the
data plane with it.
"""

from __future__ import annotations

import asyncio
import sys

READ_BYTES = 65536


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


async def relay(listen: tuple[str, int], backend: tuple[str, int]) -> None:
    """Serve until cancelled."""

    async def on_client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            backend_reader, backend_writer = await asyncio.open_connection(*backend)
        except OSError:
            writer.close()
            return
        await asyncio.gather(_copy(reader, backend_writer), _copy(backend_reader, writer))

    server = await asyncio.start_server(on_client, *listen)
    await server.serve_forever()


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    asyncio.run(relay(_address(sys.argv[1]), _address(sys.argv[2])))
