"""A fake service directory: reports arrive by UDP, and lists are served over TCP with a fixed staleness.

Runs as `python -m mulleinhatch.testing.fake_directory UDP-PORT TCP-PORT BEHIND`. An instance is listed while it reports
`open`, and for 3 s after its last report. Each line received over TCP is answered with a JSON list of the listed names as it
was BEHIND seconds ago. On SIGTERM it prints its counts.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from collections import deque

LISTED_FOR_S = 3.0  # after the last report


class Listing:
    """The instances as they were known `behind` seconds ago.

    >>> listing = Listing(behind=1.0)
    >>> listing.report(0.0, b"PULSE n1 open"); listing.report(0.5, b"PULSE n2 closed"); listing.report(0.5, b"?")
    >>> listing.names(0.9), listing.names(1.0), listing.names(3.9), listing.names(4.1), listing.counts
    ([], ['n1'], ['n1'], [], {'reports': 2, 'broken': 1})
    """

    def __init__(self, behind: float) -> None:
        self.behind = behind
        self.pending_reports: deque[tuple[float, str, bool]] = deque()
        # The last report of each name as of `behind` seconds ago: its time, and whether it said open.
        self.last: dict[str, tuple[float, bool]] = {}
        self.counts = {"reports": 0, "broken": 0}

    def report(self, now: float, datagram: bytes) -> None:
        """Record a report; count one that does not parse."""
        fields = datagram.decode("latin-1").split(" ")
        if len(fields) != 3 or fields[0] != "PULSE" or fields[2] not in ("open", "closed"):
            self.counts["broken"] += 1
            return
        self.counts["reports"] += 1
        self.pending_reports.append((now, fields[1], fields[2] == "open"))

    def names(self, now: float) -> list[str]:
        """Return the names of the listed instances."""
        known = now - self.behind
        while self.pending_reports and self.pending_reports[0][0] <= known:
            at, name, is_open = self.pending_reports.popleft()
            self.last[name] = at, is_open
        return sorted(name for name, (at, is_open) in self.last.items() if is_open and known - at <= LISTED_FOR_S)


class Reports(asyncio.DatagramProtocol):
    """The UDP side of the directory."""

    def __init__(self, listing: Listing) -> None:
        self.listing = listing

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Record a report."""
        self.listing.report(time.monotonic(), data)


async def main(udp: int, tcp: int, behind: float) -> None:
    """Serve until SIGTERM, then print the counts."""
    listing, stop, loop = Listing(behind), asyncio.Event(), asyncio.get_running_loop()

    async def serve_lists(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readline():
                writer.write(json.dumps(listing.names(time.monotonic())).encode() + b"\n")
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    await loop.create_datagram_endpoint(lambda: Reports(listing), ("127.0.0.1", udp))
    server = await asyncio.start_server(serve_lists, "127.0.0.1", tcp)
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    print("up", flush=True)
    await stop.wait()
    server.close()
    print(json.dumps(listing.counts), flush=True)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
