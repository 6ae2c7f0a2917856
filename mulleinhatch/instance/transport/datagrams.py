"""Datagrams, sent and forgotten."""

from __future__ import annotations

import socket


class DatagramSender:
    def __init__(self) -> None:
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)

    def send(self, address: tuple[str, int], datagram: bytes) -> bool:
        """Whether it left: the other side may be down, which a later datagram must not suffer from."""
        try:
            return self.socket.sendto(datagram, address) == len(datagram)
        except OSError:
            return False
