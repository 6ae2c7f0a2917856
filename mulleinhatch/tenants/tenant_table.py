"""The tenants of one configuration, and the lookup of a tenant by API key. Pure."""

from __future__ import annotations

import hmac
from collections.abc import Container, Iterable, Mapping, Sequence

from result import Err, Ok, Result

from mulleinhatch.tenants.api_keys import AuthenticationError, KeyDigester, read_bearer_key
from mulleinhatch.tenants.tenant import Tenant


class TenantTable:
    """An immutable snapshot of the tenants.

    Args:
        digester: Computes the digests that `by_digest` is keyed by.
        by_name: The tenants by name.
        by_digest: Digest and tenant of each key, by digest.
        requires_keys: Whether requests on routes that are not public need a key.
        priorities: The priorities that tenants have; None for a tenant without one.
    """

    __slots__ = ("_by_digest", "_digester", "by_name", "priorities", "requires_keys")

    def __init__(
        self,
        digester: KeyDigester,
        by_name: Mapping[str, Tenant],
        by_digest: Mapping[bytes, tuple[bytes, Tenant]],
        requires_keys: bool,
        priorities: Iterable[int | None] = (),
    ) -> None:
        self._digester, self._by_digest = digester, by_digest
        self.by_name, self.requires_keys, self.priorities = by_name, requires_keys, priorities

    def authenticate(self, authorization: Sequence[bytes]) -> Result[Tenant | None, AuthenticationError]:
        """Return the tenant that a request's key belongs to; None if no keys are needed.

        Args:
            authorization: The values of all `Authorization` fields of the request.
        """
        if not self.requires_keys:
            return Ok(None)
        if isinstance(secret := read_bearer_key(authorization), Err):
            return secret
        # The lookup uses a digest that nobody outside can compute, so its timing reveals nothing about the keys.
        digest = self._digester.digest(secret.ok_value)
        known = self._by_digest.get(digest)
        if known is None or not hmac.compare_digest(known[0], digest):
            return Err(AuthenticationError.UNKNOWN_KEY)
        return Ok(known[1])

    def __repr__(self) -> str:
        return f"TenantTable({len(self.by_name)} tenants)"


class LimitedTenants(Container[str]):
    """The names of the tenants of a table whose rate is limited."""

    def __init__(self, table: TenantTable) -> None:
        self._by_name = table.by_name

    def __contains__(self, name: object) -> bool:
        tenant = self._by_name.get(name)  # type: ignore[call-overload]
        return tenant is not None and tenant.limit is not None


NO_TENANTS = TenantTable(KeyDigester(b""), {}, {}, requires_keys=False)
# Used where the tenants of a configuration were not built: every key is unknown, so no request is allowed by mistake.
LOCKED = TenantTable(KeyDigester(b""), {}, {}, requires_keys=True)
