"""Determines which control-plane node owns a tenant's quota, from the view that a data plane knows. Pure.

The owner is computed by rendezvous hashing over the control-plane nodes of the newest known view. If it does not answer, the
next one in the ranking is queried: it is the owner in any view without the first, and its response contains the view in force.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from mulleinhatch.membership.rendezvous import rank_by_weight

OWNER_KEY_PREFIX = "quota/"  # prepended to the tenant's name to form the hash key that ranks the nodes


class OwnerDirectory:
    """The control-plane nodes of the newest known view.

    >>> directory = OwnerDirectory()
    >>> directory.owner_of("t") is None, directory.update(3, ["a:1", "b:1"]), directory.update(2, ["c:1"])
    (True, True, False)
    >>> first = directory.owner_of("t")
    >>> {first, directory.owner_of("t", avoided={first})} == {"a:1", "b:1"}
    True
    """

    def __init__(self) -> None:
        self._epoch = 0
        self._addresses: tuple[str, ...] = ()
        self._ranking: dict[str, list[str]] = {}  # by tenant

    def update(self, epoch: int, addresses: Iterable[str]) -> bool:
        """Use the internal addresses of a view's chain unless a newer view is known.

        Returns:
            Whether the addresses are now in use.
        """
        addresses = tuple(addresses)
        if not addresses or epoch < self._epoch:
            return False
        if set(addresses) != set(self._addresses):
            self._ranking = {}
        self._epoch, self._addresses = epoch, addresses
        return True

    def owner_of(self, tenant: str, avoided: Collection[str] = ()) -> str | None:
        """Return the address of a tenant's owner, or of the first in the ranking that is not `avoided`.

        Returns:
            The address; None if no node is known or all are avoided.
        """
        ranking = self._ranking.get(tenant)
        if ranking is None:
            ranking = self._ranking[tenant] = rank_by_weight(OWNER_KEY_PREFIX + tenant, self._addresses)
        return next((address for address in ranking if address not in avoided), None)
