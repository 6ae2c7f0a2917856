"""Executes requests at a fake model server: rejects them, or streams tokens as the response."""

from __future__ import annotations

import asyncio
import random

from mulleinhatch.data_plane.request_headers import read_prompt
from mulleinhatch.networking.http_streaming import Head, write_response
from mulleinhatch.testing.fake_model_server.config import Counters, FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import ModelStore

MAX_WAITING_FACTOR = 2  # maximum waiting requests per slot
SLOWDOWN_PER_REQUEST = 0.02  # share by which each running request lengthens the time per token
DEFAULT_TOKENS = 4  # without a token usage header

Fields = list[tuple[bytes, bytes]]


class RequestRunner:
    """Executes requests in a limited number of slots.

    Args:
        backend_id: Signs the responses.
        config: Slots and durations.
        counters: Counts the executions of each request.
    """

    def __init__(self, backend_id: str, config: FakeModelServerConfig, counters: Counters) -> None:
        self._backend_id, self._config, self._counters = backend_id, config, counters
        self._slots = asyncio.Semaphore(config.slots)
        self.running = self.waiting = 0

    async def run(self, head: Head, store: ModelStore, writer: asyncio.StreamWriter) -> None:
        """Answer a request: 421 if its model is not loaded, 503 if it can't be queued, otherwise a stream of events."""
        prompt = read_prompt(head)
        request_id = head.field_values.get(b"request-id", b"")
        fields: Fields = [(b"Request-Id", request_id)]
        if prompt.model and not store.is_loaded(prompt.model, prompt.adapter):
            writer.write(write_response(421, fields, b""))
            return
        if store.is_unloading(prompt.model, prompt.adapter) or self.waiting > MAX_WAITING_FACTOR * self._config.slots:
            writer.write(write_response(503, [*fields, (b"Not-Executed", b"1")], b""))
            return
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            key = request_id.decode()
            self._counters.runs[key] = self._counters.runs.get(key, 0) + 1
            try:
                await self._stream(head, prompt.tokens, writer, fields)
            finally:
                self.running -= 1

    async def _stream(self, head: Head, prompt_tokens: int, writer: asyncio.StreamWriter, fields: Fields) -> None:
        """Write the events after `Last-Event-Id`, one for each token."""
        first = int(head.field_values.get(b"last-event-id", b"0") or 0)
        await asyncio.sleep(prompt_tokens / self._config.prompt_tokens_per_s)
        writer.write(self._response_head(fields))
        for number in range(first + 1, _token_count(head) + 1):
            await asyncio.sleep(self._config.step_s * (1.0 + SLOWDOWN_PER_REQUEST * self.running) * random.uniform(0.8, 1.2))
            event = b"id: %d\ndata: token %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _response_head(self, fields: Fields) -> bytes:
        all_fields = [
            *fields,
            (b"Server-Signature", self._backend_id.encode()),
            (b"Content-Type", b"text/event-stream"),
            (b"Transfer-Encoding", b"chunked"),
        ]
        lines = b"".join(b"%b: %b\r\n" % field for field in all_fields)
        return b"HTTP/1.1 200 OK\r\n%b\r\n" % lines


def _token_count(head: Head) -> int:
    """Return how many tokens to stream: half of the output tokens that the request allows."""
    token_usage = head.field_values.get(b"token-usage", b"0,8").split(b",")
    return max(1, int(token_usage[1]) // 2) if len(token_usage) > 1 else DEFAULT_TOKENS
