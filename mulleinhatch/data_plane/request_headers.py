"""Request header fields: parses the prompt description and builds the fields sent to a backend. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from mulleinhatch.networking.http_streaming import HOP_BY_HOP, Head
from mulleinhatch.tenants.tenant import QuotaUnit, Tenant

UNFORWARDED_HEADERS = HOP_BY_HOP | {b"content-length", b"request-deadline", b"expect-instance", b"priority", b"expect"}
TENANT_HEADERS = {b"authorization", b"tenant"}  # Replaced by the tenant's name if tenants are configured.
MAX_TOKENS = 10_000_000  # Cap on each number of `Token-Usage`; far more than any model reads.
MAX_TOKENS_DIGITS = 8
MAX_PRIORITY = 9  # The lowest class that the `Priority` field can express.


@dataclass(frozen=True)
class Prompt:
    """The prompt as described by the request's header fields.

    Attributes:
        model: Model from `Model`, empty if the service has none.
        adapter: Adapter of the model, empty for the base model.
        tokens: Prompt length from `Token-Usage`.
        prefix: Identifier of the last prompt section shared with other requests; it implies all sections before it.
        account: Identifier of the last prompt section; the account that the queue's cap applies to.
    """

    model: str
    adapter: str
    tokens: int
    prefix: str
    account: str


def read_prompt(head: Head) -> Prompt:
    """Parse the prompt description from the request's header fields.

    >>> from mulleinhatch.networking.http_streaming import parse_request_head
    >>> lines = b"POST / HTTP/1.1", b"Model: m/a1", b"Token-Usage: 30,4", b"Prompt-Prefix: a:1,b:2", b"", b""
    >>> read_prompt(parse_request_head(b"\\r\\n".join(lines)))
    Prompt(model='m', adapter='a1', tokens=30, prefix='a', account='b')
    """
    model, _, adapter = head.field_values.get(b"model", b"").decode("latin-1").partition("/")
    tokens = _read_tokens(head.field_values.get(b"token-usage", b"").split(b",")[0].strip())
    sections = [
        section.split(b":")[0].strip().decode("latin-1")
        for section in head.field_values.get(b"prompt-prefix", b"").split(b",")
        if section.strip()
    ]
    account = sections[-1] if sections else ""
    prefix = sections[-2] if len(sections) > 1 else account
    return Prompt(model, adapter, tokens or 0, prefix, account)


class TokenUsageError(Enum):
    """Why `Token-Usage` could not be parsed."""

    MALFORMED = "not two whole numbers, 0 or more, with a comma between them"


@dataclass(frozen=True)
class TokenUsage:
    """The number of tokens that a request reads and writes.

    Attributes:
        prompt_tokens: Input tokens.
        output_tokens: Output tokens.
    """

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Sum of input and output tokens."""
        return self.prompt_tokens + self.output_tokens


def read_token_usage(head: Head) -> Result[TokenUsage | None, TokenUsageError]:
    """Parse the two numbers of `Token-Usage`, each capped at `MAX_TOKENS`; None if the field is missing."""
    text = head.field_values.get(b"token-usage")
    if text is None:
        return Ok(None)
    numbers = [_read_tokens(part.strip(b" \t")) for part in text.split(b",")]
    if len(numbers) != 2 or numbers[0] is None or numbers[1] is None:
        return Err(TokenUsageError.MALFORMED)
    return Ok(TokenUsage(numbers[0], numbers[1]))


def _read_tokens(text: bytes) -> int | None:
    """Parse a token count, capped at `MAX_TOKENS`; None if the text is not a whole number."""
    if not text.isdigit():
        return None
    digits = text.lstrip(b"0") or b"0"
    return MAX_TOKENS if len(digits) > MAX_TOKENS_DIGITS else min(MAX_TOKENS, int(digits))


def quota_tokens(head: Head, tenant: Tenant) -> int:
    """Return the cost of a request in the unit of its tenant's quota.

    A malformed `Token-Usage` costs as much as a missing one, since the client could also leave the field out.

    Args:
        head: The request's head.
        tenant: The tenant.
    """
    if tenant.unit is QuotaUnit.REQUESTS:
        return 1
    usage = read_token_usage(head)
    if isinstance(usage, Err) or usage.ok_value is None:
        return min(MAX_TOKENS, tenant.plain_tokens)
    return usage.ok_value.total


def backend_fields(
    head: Head,
    remaining_s: float,
    backend_id: str,
    priority: int,
    last_event_id: bytes,
    requires_keys: bool = False,
    tenant: Tenant | None = None,
) -> list[tuple[bytes, bytes]]:
    """Build the header fields of the request to a backend.

    Args:
        head: The client's request head.
        remaining_s: Seconds until the request's deadline.
        backend_id: Backend that the request is meant for; a different backend at the same address must answer 421.
        priority: Value of `Priority`, 0 is the highest.
        last_event_id: Last event forwarded to the client, empty if no stream is resumed.
        requires_keys: Whether tenants are configured; if so, the client's `Authorization` and `Tenant` are not forwarded.
        tenant: Tenant whose key the request carries; its name is sent in `Tenant`.
    """
    unforwarded = UNFORWARDED_HEADERS | TENANT_HEADERS if requires_keys else UNFORWARDED_HEADERS
    fields = [
        (name, value)
        for name, value in head.fields
        if (lower := name.lower()) not in unforwarded and not (last_event_id and lower == b"last-event-id")
    ]
    fields.append((b"Request-Deadline", b"%d" % max(1, int(1000 * remaining_s))))
    fields.append((b"Expect-Instance", backend_id.encode()))
    fields.append((b"Priority", b"%d" % min(MAX_PRIORITY, max(0, priority))))
    if tenant is not None:
        fields.append((b"Tenant", tenant.name.encode()))
    if last_event_id:
        fields.append((b"Last-Event-Id", last_event_id))
    return fields
