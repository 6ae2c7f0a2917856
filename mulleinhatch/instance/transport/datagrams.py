"""Unreliable sending of datagrams."""

from __future__ import annotations

import socket


class DatagramSender:
    """A non-blocking UDP socket."""

    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)

    def send(self, address: tuple[str, int], datagram: bytes) -> bool:
        """Send a datagram.

        Returns:
            Whether it was sent completely; also false if the system reports here that an earlier one had no receiver.
        """
        try:
            return self.socket.sendto(datagram, address) == len(datagram)
        except OSError:
            return False
