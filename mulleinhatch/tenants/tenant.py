"""A tenant of the configuration, its limit and the unit that its quota counts. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """What a tenant's quota counts; the values are those of `unit` in the configuration."""

    REQUESTS = ""
    TOKENS = "token_count"


@dataclass(frozen=True)
class QuotaLimit:
    """A rate limit over all data planes together.

    Attributes:
        rate_per_s: Units per second that a tenant may use.
        burst: Units that it may use beyond the rate at once.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Tenant:
    """A configured tenant; its keys are stored separately, in the `TenantTable`.

    Attributes:
        name: Its name, sent to backends in the `Tenant` header.
        limit: Its quota, None if unlimited.
        unit: What the quota counts.
        plain_tokens: Cost of a request without a token count, if the quota counts tokens.
        priority: Priority class of its requests, which overrides the route's; None to use the route's.
    """

    name: str
    limit: QuotaLimit | None = None
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 0
    priority: int | None = None
