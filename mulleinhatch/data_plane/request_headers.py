"""Header fields of a request: reading the prompt's description, and building the fields sent to a backend. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinhatch.networking.http_streaming import HOP_BY_HOP, Head

UNFORWARDED_HEADERS = HOP_BY_HOP | {b"content-length", b"request-deadline", b"expect-instance", b"priority", b"expect"}
MAX_PRIORITY = 9  # the lowest class that the `Priority` field can express


@dataclass(frozen=True)
class Prompt:
    """What a request's header fields say about its prompt.

    Attributes:
        model: Model from `Model`, empty where the service has none.
        adapter: Adapter of the model, empty for the base model.
        tokens: Prompt length from `Token-Usage`.
        prefix: Identifier of the last prompt section shared with other requests; it implies all sections before it.
        account: Identifier of the last prompt section; the account that the queue's cap counts.
    """

    model: str
    adapter: str
    tokens: int
    prefix: str
    account: str


def read_prompt(head: Head) -> Prompt:
    """Read the prompt's description from the request's header fields.

    >>> from mulleinhatch.networking.http_streaming import parse_request_head
    >>> lines = b"POST / HTTP/1.1", b"Model: m/a1", b"Token-Usage: 30,4", b"Prompt-Prefix: a:1,b:2", b"", b""
    >>> read_prompt(parse_request_head(b"\\r\\n".join(lines)))
    Prompt(model='m', adapter='a1', tokens=30, prefix='a', account='b')
    """
    model, _, adapter = head.first.get(b"model", b"").decode("latin-1").partition("/")
    tokens = head.first.get(b"token-usage", b"").split(b",")[0].strip()
    sections = [
        section.split(b":")[0].strip().decode("latin-1")
        for section in head.first.get(b"prompt-prefix", b"").split(b",")
        if section.strip()
    ]
    account = sections[-1] if sections else ""
    prefix = sections[-2] if len(sections) > 1 else account
    return Prompt(model, adapter, int(tokens) if tokens.isdigit() else 0, prefix, account)


def backend_fields(
    head: Head, remaining_s: float, backend_id: str, priority: int, last_event_id: bytes
) -> list[tuple[bytes, bytes]]:
    """Build the header fields of the request to a backend.

    Args:
        head: The client's request head.
        remaining_s: Seconds until the request's deadline.
        backend_id: Backend that the request is meant for; another one at the same address must answer 421.
        priority: Priority class of the route, 0 is the highest.
        last_event_id: Last event forwarded to the client, empty where no stream is resumed.
    """
    fields = [
        (name, value)
        for name, value in head.fields
        if (lower := name.lower()) not in UNFORWARDED_HEADERS and not (last_event_id and lower == b"last-event-id")
    ]
    fields.append((b"Request-Deadline", b"%d" % max(1, int(1000 * remaining_s))))
    fields.append((b"Expect-Instance", backend_id.encode()))
    fields.append((b"Priority", b"%d" % min(MAX_PRIORITY, max(0, priority))))
    if last_event_id:
        fields.append((b"Last-Event-Id", last_event_id))
    return fields
