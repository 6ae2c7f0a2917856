"""Asks the former owners of tenants for the remaining levels of their buckets (`quotas.owner` explains why that is safe).

If the request fails, the new owner waits and starts with an empty bucket, which needs no answer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from mulleinhatch.control_plane.internal_client import InternalClient
from mulleinhatch.messages.cluster import QuotaHandoverRequest, QuotaHandoverResponse, View
from mulleinhatch.quotas.account import HANDOVER_TIMEOUT_S
from mulleinhatch.quotas.owner import QuotaOwner

LOG = logging.getLogger(__name__)
TENANTS_PER_REQUEST = 256
HANDOVER_PATH = "quota_handover"


class HandoverRequester:
    """Asks former owners for the levels of the buckets that were taken over.

    Args:
        owner: Adopts the levels.
        clock: Returns the monotonic time in seconds.
        client: Sends messages to other control-plane nodes.
        start_task: Runs a coroutine in the background; an `OSError` is an expected failure.
    """

    def __init__(
        self,
        owner: QuotaOwner,
        clock: Callable[[], float],
        client: InternalClient,
        start_task: Callable[[Coroutine[Any, Any, Any]], None],
    ) -> None:
        self._owner, self._clock, self._client, self._start_task = owner, clock, client, start_task

    def request(self, view: View, tenants_by_owner: Mapping[str, tuple[str, ...]]) -> None:
        """Ask all former owners concurrently, in the background.

        Args:
            view: The view in which this control-plane node owns the tenants.
            tenants_by_owner: Names of the tenants, by the internal address of their owner in the previous view.
        """
        for address, tenants in tenants_by_owner.items():
            self._start_task(self._ask_in_parts(address, view, tenants))

    async def _ask_in_parts(self, address: str, view: View, tenants: tuple[str, ...]) -> None:
        """Ask for a bounded number of levels at once; after a failure, for no more."""
        for start in range(0, len(tenants), TENANTS_PER_REQUEST):
            await self._ask(address, view, tenants[start : start + TENANTS_PER_REQUEST])

    async def _ask(self, address: str, view: View, tenants: tuple[str, ...]) -> None:
        message = QuotaHandoverRequest(epoch=view.epoch, tenants=list(tenants), newest=view)
        taken: tuple[str, ...] = ()
        try:
            response = await self._client.call(
                address, HANDOVER_PATH, message, QuotaHandoverResponse, timeout_s=HANDOVER_TIMEOUT_S
            )
            asked = frozenset(tenants)
            asked_levels = [level for level in response.levels if response.accepted and level.tenant in asked]
            taken = self._owner.adopt_levels(asked_levels, view.epoch, self._clock())
        finally:
            LOG.info(
                "asked the former owner of tenants' quotas for their levels",
                extra={"view_epoch": view.epoch, "address": address, "asked": len(tenants), "taken": len(taken)},
            )
