"""Clients of a soak: each keeps its connection until the data plane closes it, and records complete responses."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.soak_parts.changes import HOST, KINDS, PLAIN_TOKENS, new_key
from benchmarks.soak_parts.records import ClientRequest, Observations, Version
from mulleinhatch.networking.http_grammar import BadRequestError
from mulleinhatch.networking.http_streaming import MessageReader

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 9.0
DEADLINE_MS = 8000
RECONNECT_S = 0.1
PAUSE_S = (0.02, 0.12)
TOKENS = (260, 140)  # prompt tokens, maximum completion tokens
UNKNOWN_KEY_SHARE, OLD_KEY_SHARE, NO_KEY_SHARE, HOT_SHARE = 0.05, 0.15, 0.03, 0.6
CLAIMED_TENANT = "somebody-else"
MAX_ADDED_ROUTES = 12
DROPPED_ROUTE_SHARE = 0.1  # of the requests, where there is such a route
RECENT_VERSIONS = 12  # of which a route may be one that was removed


@dataclass(frozen=True)
class PlannedRequest:
    """The next request of a client."""

    route: str
    key: str
    claimed_tenant: str
    has_token_usage: bool

    @property
    def tokens(self) -> int:
        """Return the tokens that the request costs."""
        return sum(TOKENS) if self.has_token_usage else PLAIN_TOKENS


def draw_request(versions: list[Version], random_source: random.Random) -> PlannedRequest:
    """Draw the route and the key of the next request from the versions that the operator has sent so far.

    Args:
        versions: The versions of the configuration, at least one.
        random_source: Source of the draws.
    """
    newest = versions[-1]
    # Of many routes that one change added or removed, few are drawn: the other kinds of requests stay as frequent.
    added = sorted(newest.routes - set(KINDS))
    dropped = sorted({name for version in versions[-RECENT_VERSIONS:] for name in version.routes} - newest.routes)
    if dropped and random_source.random() < DROPPED_ROUTE_SHARE:
        names = dropped
    else:
        names = [*KINDS, *(random_source.sample(added, MAX_ADDED_ROUTES) if len(added) > MAX_ADDED_ROUTES else added)]
    claimed = CLAIMED_TENANT if random_source.random() < 0.2 else ""
    return PlannedRequest(
        random_source.choice(names), _draw_key(versions, random_source), claimed, random_source.random() < 0.8
    )


def _draw_key(versions: list[Version], random_source: random.Random) -> str:
    newest, draw = versions[-1], random_source.random()
    if draw < UNKNOWN_KEY_SHARE:
        return new_key()
    if draw < UNKNOWN_KEY_SHARE + NO_KEY_SHARE:
        return ""
    if draw < UNKNOWN_KEY_SHARE + NO_KEY_SHARE + OLD_KEY_SHARE:
        old = sorted({key for version in versions for key in version.key_owners} - set(newest.key_owners))
        if old:
            return random_source.choice(old)
    hot = sorted(key for key, name in newest.key_owners.items() if name == "hot")
    return random_source.choice(hot if hot and random_source.random() < HOT_SHARE else sorted(newest.key_owners))


class Client:
    """Sends requests one after another on one connection; switches to the next data plane if it can't connect.

    Args:
        data_planes: Names of the data planes, in the order in which this client tries them.
        address_of: Returns the address of a data plane.
        observations: Receives the requests.
        random_source: Source of the draws.
    """

    def __init__(
        self,
        data_planes: list[str],
        address_of: Callable[[str], tuple[str, int]],
        observations: Observations,
        random_source: random.Random,
    ) -> None:
        self._data_planes, self._address_of = list(data_planes), address_of
        self._observations, self._random = observations, random_source

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(*self._address_of(self._data_planes[0]))
            except (OSError, TimeoutError):
                self._data_planes.append(self._data_planes.pop(0))
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._send_requests(reader, writer)
            finally:
                writer.transport.abort()

    async def _send_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests until the connection can no longer be used."""
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_S))
            if reader.at_eof():
                return
            plan = draw_request(self._observations.versions, self._random)
            exchange = Exchange(self._data_planes[0], plan, asyncio.get_running_loop().time())
            self._observations.requests.append(exchange.request)
            if not await exchange.perform(reader, writer):
                return


class Exchange:
    """One request and its response on a connection.

    Args:
        data_plane: Name of the data plane.
        plan: The request to send.
        now: The current time.
    """

    def __init__(self, data_plane: str, plan: PlannedRequest, now: float) -> None:
        request_id = uuid.uuid4().hex[:16]
        method_has_body = KINDS.get(plan.route, "safe") != "safe"
        self.request = ClientRequest(
            id=request_id,
            front=data_plane,
            route=plan.route,
            path=f"/{plan.route}/{request_id}?a=b",
            body=f"body of {request_id}".encode() if method_has_body else b"",
            key=plan.key,
            claimed_tenant=plan.claimed_tenant,
            tokens=plan.tokens,
            sent_at=now,
        )
        self._has_token_usage = plan.has_token_usage

    def message(self) -> bytes:
        """Return the bytes of the request."""
        request = self.request
        lines = [
            f"{'POST' if request.body else 'GET'} {request.path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request.id}",
            f"Request-Deadline: {DEADLINE_MS}",
            f"Content-Length: {len(request.body)}",
        ]
        lines += [f"Authorization: Bearer {request.key}"] if request.key else []
        lines += [f"tenant: {request.claimed_tenant}"] if request.claimed_tenant else []
        lines += [f"Token-Usage: {TOKENS[0]},{TOKENS[1]}"] if self._has_token_usage else []
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + request.body

    async def perform(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send the request and read the response; return whether the connection can be reused."""
        loop, request = asyncio.get_running_loop(), self.request
        request.sent_at = loop.time()
        try:
            writer.write(self.message())
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                return await self._read(reader)
        except TimeoutError:
            request.is_abandoned = True
        except (OSError, BadRequestError):
            request.is_cut = True
        finally:
            request.ended_at = loop.time()
        return False

    async def _read(self, reader: asyncio.StreamReader) -> bool:
        messages, request = MessageReader(reads_responses=True), self.request
        while (head := messages.head()) is None:
            if not await self._read_more(reader, messages):
                return False
        request.status = head.status
        request.signature = head.field_values.get(b"server-signature", b"").decode("latin-1")
        request.answered_id = head.field_values.get(b"request-id", b"").decode("latin-1")
        request.answer = messages.body()
        while not messages.done:
            if not await self._read_more(reader, messages):
                return False
            request.answer += messages.body()
        request.is_complete = True
        return head.keep_alive and not messages.surplus()

    async def _read_more(self, reader: asyncio.StreamReader, messages: MessageReader) -> bool:
        data = await reader.read(READ_BYTES)
        if not data:
            self.request.is_cut = not messages.ended()
            return False
        messages.feed(data)
        return True
