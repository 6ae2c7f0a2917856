"""The interface that the owner of the listener's connections implements."""

from __future__ import annotations

from typing import Any, Protocol


class ConnectionObserver(Protocol):
    """Receives the events of all connections. A connection is identified by its number."""

    def on_connection_accepted(self) -> None:
        """Handle a new connection."""

    def on_message(self, number: int, *message: Any) -> None:
        """Handle a complete message, as the connection's reader returned it. A response is due: `Connections.respond`."""

    def on_malformed_message(self, number: int, error: ValueError) -> None:
        """Handle malformed bytes. A response is due, and it must be the last one."""

    def on_slow_message(self, number: int) -> None:
        """Handle a message that was not complete in time. A response is due, and it must be the last one."""

    def on_connection_lost(self, number: int) -> None:
        """Handle a connection that ended while a response was due."""

    def answer_early(self, number: int, now: float, data: bytes, retry_at: float) -> tuple[bytes, float] | None:
        """Answer unparsed bytes at once, if early answers are enabled and the bytes suffice to reject the request.

        Args:
            number: The connection.
            now: Current time.
            data: Bytes that have arrived; they may be part of a message.
            retry_at: Time at which the connection's last response asked its client to retry; 0 if it did not.

        Returns:
            The response and the time at which it asks the client to retry, or None to process the message as usual.
        """

    def count(self, counter: str) -> None:
        """Increment a counter."""
