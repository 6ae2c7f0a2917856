"""The replicated value: permits in use, the bounds, and the voters.

`PermitTable` is immutable; each change returns a new table or raises `PermitRefusedError` with the reason. A permit does not
expire by a clock: its holder may be paused for any length of time and then continue, which would break a bound that relies on
a lease. It ends when its holder releases it, or when an operator releases it and gives a reason. The fencing token of a permit
is the table version that granted it.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

MAX_VOTERS = 9
MAX_PERMITS = 12  # the table must fit into one datagram
MAX_REASON_LENGTH = 40


class PermitRefusedError(ValueError):
    """Raised when a change of the table is not allowed; the message states the reason for an operator."""


class Permit(NamedTuple):
    """Permission for one instance to be out of service.

    The field names appear in the JSON answers of the control port.

    Attributes:
        name: Instance that holds the permit.
        zone: Failure domain of that instance.
        fence: Fencing token: the table version that granted the permit.
        why: Reason of the request.
        over: Reason an operator gave for exceeding the bound; empty for an ordinary permit.
    """

    name: str
    zone: str
    fence: int
    why: str
    over: str = ""


class PermitTable(NamedTuple):
    """The agreed state: who may be out of service, the bounds and the voters.

    The field names appear in the JSON answers of the control port.

    Attributes:
        voters: Names of the voters, sorted.
        most: Maximum number of instances out of service at a time.
        zone_most: The same for one zone.
        version: Number of changes made so far.
        epoch: Number of changes of the set of voters.
        out: Permits in use.
        frozen: Reason why no permit is granted; empty if permits are granted.

    >>> table = PermitTable(voters=("a", "b", "c"), most=2, zone_most=1)
    >>> table = table.grant("n1", "z1", "kernel"); table.out[0].fence, table.version
    (1, 1)
    >>> table.grant("n2", "z1", "kernel")
    Traceback (most recent call last):
    mulleinhatch.instance.maintenance.table.PermitRefusedError: 1 of 1 are out in zone z1
    >>> table.grant("n3", "z2", "kernel", gone={"n9": "z3"})
    Traceback (most recent call last):
    mulleinhatch.instance.maintenance.table.PermitRefusedError: 2 of 2 are out, 1 of them gone without a permit
    >>> table.release("n1", 1).out
    ()
    """

    voters: tuple[str, ...]
    most: int
    zone_most: int
    version: int = 0
    epoch: int = 0
    out: tuple[Permit, ...] = ()
    frozen: str = ""

    def permit(self, name: str) -> Permit | None:
        """Return the permit of an instance, or None if it holds none."""
        return next((permit for permit in self.out if permit.name == name), None)

    def _next_version(self, **changed: object) -> PermitTable:
        return self._replace(version=self.version + 1, **changed)

    def grant(self, name: str, zone: str, why: str, gone: dict[str, str] | None = None, over: str = "") -> PermitTable:
        """Grant a permit, or issue a new fencing token for one that the instance already holds.

        The new token protects a holder that is out: a release of the old token, decided while the instance served, no longer
        matches.

        Args:
            name: Instance that requests the permit.
            zone: Its zone.
            why: Reason, truncated to `MAX_REASON_LENGTH` characters.
            gone: Crashed members and their zones. They count as out of service.
            over: An operator's reason for exceeding the bounds or a freeze; empty for an ordinary permit.

        Raises:
            PermitRefusedError: A bound or a freeze forbids it.
        """
        if self.frozen and not over:
            raise PermitRefusedError(f"frozen: {self.frozen}")
        if permit := self.permit(name):
            return self._next_version(
                out=tuple(other for other in self.out if other is not permit) + (permit._replace(fence=self.version + 1),)
            )
        missing = {other: where for other, where in (gone or {}).items() if other != name and not self.permit(other)}
        count = len(self.out) + len(missing)
        if count >= self.most and not over:
            beside = f", {len(missing)} of them gone without a permit" if missing else ""
            raise PermitRefusedError(f"{count} of {self.most} are out{beside}")
        in_zone = sum(permit.zone == zone for permit in self.out) + sum(where == zone for where in missing.values())
        if in_zone >= self.zone_most and not over:
            raise PermitRefusedError(f"{in_zone} of {self.zone_most} are out in zone {zone}")
        voters = sum(voter in missing or self.permit(voter) is not None for voter in self.voters if voter != name)
        if name in self.voters and voters >= max(1, (len(self.voters) - 1) // 2) and not over:
            # Without a majority of the voters no permit could be released; without disks the agreed table would be lost.
            raise PermitRefusedError(f"{voters} of {len(self.voters)} voters are out already")
        if len(self.out) >= MAX_PERMITS:
            raise PermitRefusedError(f"{MAX_PERMITS} are out, and the table holds no more")
        return self._next_version(
            out=(*self.out, Permit(name, zone, self.version + 1, why[:MAX_REASON_LENGTH], over[:MAX_REASON_LENGTH]))
        )

    def release(self, name: str, fence: int) -> PermitTable:
        """Release a permit if the fencing token matches; otherwise return the table unchanged.

        A delayed message about an earlier permit must not end a later one.
        """
        permit = self.permit(name)
        if permit is None or permit.fence != fence:
            return self
        return self._next_version(out=tuple(other for other in self.out if other is not permit))

    def freeze(self, why: str) -> PermitTable:
        """Stop granting permits; an empty reason resumes."""
        return self if self.frozen == why else self._next_version(frozen=why[:MAX_REASON_LENGTH])

    def set_bounds(self, most: int, zone_most: int) -> PermitTable:
        """Set the maximum number of instances out of service, in total and in one zone.

        Raises:
            PermitRefusedError: A bound is outside 0 to `MAX_PERMITS`.
        """
        if not (0 <= most <= MAX_PERMITS and 0 <= zone_most <= MAX_PERMITS):
            raise PermitRefusedError(f"a bound is 0 to {MAX_PERMITS}")
        return self._next_version(most=most, zone_most=zone_most)

    def set_voters(self, voters: Collection[str]) -> PermitTable:
        """Replace the set of voters by one that differs by at most one voter, so that old and new majorities intersect.

        Raises:
            PermitRefusedError: The size is out of range, or more than one voter changes.
        """
        new = tuple(sorted(set(voters)))
        if not 1 <= len(new) <= MAX_VOTERS:
            raise PermitRefusedError(f"1 to {MAX_VOTERS} voters are required")
        if not self._overlap(new):
            raise PermitRefusedError("one voter at a time: otherwise old and new majorities may not intersect")
        return self if new == self.voters else self._next_version(voters=new, epoch=self.epoch + 1)

    def _overlap(self, new: tuple[str, ...]) -> bool:
        return len(set(new) ^ set(self.voters)) <= 1
