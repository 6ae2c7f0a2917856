"""What is agreed: who is out by which permit, the bounds, the voters. Immutable; each change gives a new one or says why not.

A permit has no end by a clock: who holds it may be stopped for any time and then go on, and a bound that trusted a lease would
be broken by that. It is given back by its holder, or taken by a person who says why. Its fence is the version that granted it.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

MOST_VOTERS = 9
MOST_OUT = 12  # the table must fit a datagram, and with hundreds of instances more at a time want another bound
LONGEST_WHY = 40


class PermitRefusedError(ValueError):
    """The text says why, for people."""


class Permit(NamedTuple):
    name: str
    zone: str
    fence: int
    why: str
    over: str = ""  # a person's reason to go over the bound


class PermitTable(NamedTuple):
    """
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
    frozen: str = ""  # why nobody goes

    def permit(self, name: str) -> Permit | None:
        return next((permit for permit in self.out if permit.name == name), None)

    def _next_version(self, **changed: object) -> PermitTable:
        return self._replace(version=self.version + 1, **changed)

    def grant(self, name: str, zone: str, why: str, gone: dict[str, str] | None = None, over: str = "") -> PermitTable:
        """`gone` are members that crashed, with their zones: they are out, too. Who has a permit still gets it under a new
        fence: a word on the old one, decided while it served, must not take it from under one that is out."""
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
            # With a majority gone nobody could give back a permit; without disks, nothing agreed would be left.
            raise PermitRefusedError(f"{voters} of {len(self.voters)} voters are out already")
        if len(self.out) >= MOST_OUT:
            raise PermitRefusedError(f"{MOST_OUT} are out, and no more can be told of")
        return self._next_version(out=(*self.out, Permit(name, zone, self.version + 1, why[:LONGEST_WHY], over[:LONGEST_WHY])))

    def release(self, name: str, fence: int) -> PermitTable:
        """Only the permit of that fence: a late word on an earlier one must not end a later."""
        permit = self.permit(name)
        if permit is None or permit.fence != fence:
            return self
        return self._next_version(out=tuple(other for other in self.out if other is not permit))

    def freeze(self, why: str) -> PermitTable:
        return self if self.frozen == why else self._next_version(frozen=why[:LONGEST_WHY])

    def bounds(self, most: int, zone_most: int) -> PermitTable:
        if not (0 <= most <= MOST_OUT and 0 <= zone_most <= MOST_OUT):
            raise PermitRefusedError(f"a bound is 0 to {MOST_OUT}")
        return self._next_version(most=most, zone_most=zone_most)

    def electorate(self, voters: Collection[str]) -> PermitTable:
        """One joins or one leaves: majorities of before and after then share a voter."""
        new = tuple(sorted(set(voters)))
        if not 1 <= len(new) <= MOST_VOTERS:
            raise PermitRefusedError(f"1 to {MOST_VOTERS} voters are wanted")
        if not self._overlap(new):
            raise PermitRefusedError("one voter at a time: else a majority of the old and one of the new need not meet")
        return self if new == self.voters else self._next_version(voters=new, epoch=self.epoch + 1)

    def _overlap(self, new: tuple[str, ...]) -> bool:
        return len(set(new) ^ set(self.voters)) <= 1
