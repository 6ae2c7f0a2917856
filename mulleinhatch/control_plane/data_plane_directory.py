"""The data planes that a control-plane node knows, and which of them no node has heard of for some time. Pure.

A data plane polls one node. That node reports it to its peers as in contact (`DataPlaneList` in heartbeats); while heartbeats
of a node that reports it arrive, or it polls this node, it counts as heard. The list is sent only when it has changed, so that
a calm second costs nothing. It is not kept on disk: after a restart of all nodes at once it begins empty.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from mulleinhatch.messages.cluster import DataPlane, DataPlaneList

CONTACT_S = 1.5  # a poll is at most this old while its data plane is in contact: it waits for one second
FORGET_AFTER_S = 3600.0  # without a poll at any node
MAX_DATA_PLANES = 4096  # above it, those that were silent for longest are forgotten
MINUTE_S = 60.0
NEVER = -1e9


class DataPlaneReport(NamedTuple):
    """The fields of a `DataPlane` message, in their order."""

    name: str
    call_address: str
    incarnation: int
    in_contact: bool
    silent_minutes: int


@dataclass
class DataPlaneRecord:
    """What is known of one data plane. Times are monotonic seconds of this node.

    Attributes:
        call_address: Where it can be called.
        incarnation: The number that it drew at its start.
        polled_at: When it last polled this node.
        heard_at: When it last polled any node, as far as this one knows.
    """

    call_address: str
    incarnation: int
    polled_at: float = NEVER
    heard_at: float = NEVER

    def is_in_contact(self, now: float) -> bool:
        """Return whether it polled this node a moment ago."""
        return now - self.polled_at < CONTACT_S

    def report(self, name: str, now: float) -> DataPlaneReport:
        """Return what peers are told of it."""
        in_contact = self.is_in_contact(now)
        silent_minutes = 0 if in_contact else int((now - self.heard_at) / MINUTE_S)
        return DataPlaneReport(name, self.call_address, self.incarnation, in_contact, silent_minutes)


class DataPlaneDirectory:
    """All data planes that can be called, by name.

    Args:
        first_revision: The first revision of this node's list; another one at each start.
    """

    def __init__(self, first_revision: int) -> None:
        self._records: dict[str, DataPlaneRecord] = {}
        self._reports: list[DataPlaneReport] = []  # the content of the list: comparing messages would cost more
        self._list = DataPlaneList(revision=max(1, first_revision))

    def __len__(self) -> int:
        return len(self._records)

    def record_poll(self, name: str, call_address: str, incarnation: int, now: float) -> None:
        """Record a poll of this node; one without an address is from a data plane that can't be called."""
        if not call_address:
            return
        record = self._records.get(name)
        if record is None or record.incarnation != incarnation or record.call_address != call_address:
            record = self._records[name] = DataPlaneRecord(call_address, incarnation)
        record.polled_at = record.heard_at = now

    def merge(self, data_planes: Iterable[DataPlane], now: float) -> None:
        """Take over what a peer reports at this moment."""
        for reported in data_planes:
            record = self._records.get(reported.name)
            heard_at = now if reported.in_contact else now - MINUTE_S * (reported.silent_minutes + 1)
            if record is None:
                record = self._records[reported.name] = DataPlaneRecord(reported.call_address, reported.incarnation)
            if heard_at > record.heard_at and not record.is_in_contact(now):
                record.call_address, record.incarnation = reported.call_address, reported.incarnation
            record.heard_at = max(record.heard_at, heard_at)
        self._forget_surplus()

    def _forget_surplus(self) -> None:
        surplus = len(self._records) - MAX_DATA_PLANES
        if surplus > 0:
            for name in sorted(self._records, key=lambda name: self._records[name].heard_at)[:surplus]:
                del self._records[name]

    def forget(self, name: str, incarnation: int) -> None:
        """Forget an incarnation of a data plane: another one is at its address."""
        record = self._records.get(name)
        if record is not None and record.incarnation == incarnation:
            del self._records[name]

    def silent(self, now: float) -> dict[str, DataPlaneRecord]:
        """Return the data planes that no node has heard of for `CONTACT_S`; forget those of `FORGET_AFTER_S`."""
        silent = {name: record for name, record in self._records.items() if now - record.heard_at >= CONTACT_S}
        for name, record in list(silent.items()):
            if now - record.heard_at >= FORGET_AFTER_S:
                del silent[name], self._records[name]
        return silent

    def list_for_peers(self, now: float) -> DataPlaneList:
        """Return the list to report; its revision is the former one if nothing has changed."""
        reports = [record.report(name, now) for name, record in self._records.items()]
        if reports != self._reports:
            self._reports = reports
            data_planes = [DataPlane(*report) for report in reports]
            self._list = DataPlaneList(data_planes=data_planes, revision=self._list.revision + 1)
        return self._list
