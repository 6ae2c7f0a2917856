"""Changes of the view and of the tenants at a control plane that owns the quotas of many tenants."""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from mulleinhatch.configuration.document import Document, accept_patch
from mulleinhatch.control_plane import quota_handover
from mulleinhatch.control_plane.quotas import QuotaService
from mulleinhatch.messages.cluster import Member, QuotaHandoverRequest, QuotaNeed, QuotaRequest, View
from mulleinhatch.process.loop_watch import LoopWatch
from mulleinhatch.process.time_slices import SLICE_S, TimeSlicer
from mulleinhatch.quotas.limits import QuotaBounds
from mulleinhatch.quotas.owner import OwnerView, QuotaOwner, owner_address
from mulleinhatch.steps import complete
from mulleinhatch.tenants.tenant import QuotaLimit, Tenant

CHAIN = ("10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000")
BOUNDS = QuotaBounds(8.0, 0.1, 50)
MANY = 5000
NAMES = [f"t{number}" for number in range(6)]


def view_of(epoch: int, addresses: tuple[str, ...] = CHAIN) -> View:
    chain = [Member(identity=address, internal_address=address) for address in addresses]
    return View(epoch=epoch, voters=chain, chain=chain)


def tenant_items(count: int) -> list[dict[str, Any]]:
    return [{"name": f"t{number}", "api_keys": [f"k{number}"], "rate_per_s": 5, "burst": 10} for number in range(count)]


class Node:
    """A node with majority contact; background tasks run on the loop."""

    def __init__(self, tenants: int) -> None:
        self.member = Member(identity=CHAIN[0], internal_address=CHAIN[0])
        document = Document(1, {"version": 1, "routes": [], "services": [], "tenants": tenant_items(tenants)})
        self.state, self.view = SimpleNamespace(document=document), view_of(1)
        self.view_changer = SimpleNamespace(learn_view=mock.AsyncMock())
        self.heartbeat_responder = SimpleNamespace(on_confirmation_age=mock.AsyncMock(side_effect=OSError))
        self.tasks: set[asyncio.Task[Any]] = set()

    def start_task(self, work: Any) -> None:
        self.tasks.add(asyncio.ensure_future(work))

    def has_majority_contact(self) -> bool:
        return True

    async def wait_for_majority_contact(self) -> bool:
        return True


class Turns:
    """Counts the turns of the running loop."""

    def __init__(self) -> None:
        self.count = 0

    async def count_forever(self) -> None:
        while True:
            self.count += 1
            await asyncio.sleep(0)


class Service(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.now = 0.0
        self.node, self.client = Node(MANY), mock.Mock(call=mock.AsyncMock(side_effect=OSError))
        times = iter(range(10**7))  # each look at the processor time finds a slice used up
        slicer = TimeSlicer(LoopWatch(), processor_time=lambda: SLICE_S * next(times))
        self.service = QuotaService(self.node, lambda: self.now, BOUNDS, self.client, slicer)
        self.turns = Turns()
        counting = asyncio.ensure_future(self.turns.count_forever())
        self.addAsyncCleanup(self.stop, counting)

    async def stop(self, counting: asyncio.Task[None]) -> None:
        for task in (counting, *self.node.tasks):
            task.cancel()
        await asyncio.gather(counting, *self.node.tasks, return_exceptions=True)

    async def answer(self, *names: str) -> list[Any]:
        needs = [QuotaNeed(tenant=name, request_tokens=[1]) for name in names]
        return (await self.service.on_request(QuotaRequest(configuration_version=1, needs=needs))).grants

    # Guards against a change of the view that holds up heartbeats while the owners of all tenants are computed.
    async def test_a_change_of_the_view_takes_many_turns_and_grants_nothing_meanwhile(self):
        await self.answer("t0")
        self.now, self.node.view = 60.0, view_of(2, CHAIN[:2])
        began_at = self.turns.count
        grants = await self.answer(*(f"t{number}" for number in range(MANY)))
        self.assertGreater(self.turns.count - began_at, MANY // 100)
        for number, grant in enumerate(grants):
            self.assertEqual(grant.not_owner, owner_address(f"t{number}", CHAIN[:2]) != CHAIN[0])
            kept = owner_address(f"t{number}", CHAIN) == CHAIN[0]
            self.assertEqual(grant.granted_requests, int(kept and not grant.not_owner))

    async def test_a_view_that_comes_during_an_update_is_in_force_before_the_next_answer(self):
        asking = asyncio.ensure_future(self.answer("t0"))
        await asyncio.sleep(0)
        self.node.view = view_of(2, CHAIN[1:])
        grant = (await asking)[0]
        self.assertTrue(grant.not_owner)

    async def test_a_change_of_one_tenant_is_in_force_at_once(self):
        await self.answer("t0")
        changed = {**tenant_items(1)[0], "rate_per_s": 7}
        patch = {"version": 2, "upsert": {"tenants": [changed]}}
        self.node.state.document = accept_patch(self.node.state.document, patch).ok_value
        with mock.patch.object(QuotaOwner, "update_steps") as whole:
            self.service.on_change()
        whole.assert_not_called()
        owned = owner_address("t0", CHAIN) == CHAIN[0]
        self.assertEqual(self.service.status().get("t0", {}).get("rate_per_s"), 7.0 if owned else None)

    async def test_levels_are_asked_for_in_parts(self):
        await self.answer("t0")
        self.client.call = mock.AsyncMock(return_value=mock.Mock(accepted=True, levels=[]))
        self.now, self.node.view = 60.0, view_of(2, CHAIN[:2])
        await self.answer("t0")
        await asyncio.sleep(0.05)
        requests = [call.args[2] for call in self.client.call.await_args_list]
        asked = [request.tenants for request in requests if isinstance(request, QuotaHandoverRequest)]
        expected = [
            name
            for name in (item["name"] for item in tenant_items(MANY))
            if owner_address(name, CHAIN) == CHAIN[2] and owner_address(name, CHAIN[:2]) == CHAIN[0]
        ]
        self.assertEqual(sorted(name for names in asked for name in names), sorted(expected))
        self.assertLessEqual(max(map(len, asked)), quota_handover.TENANTS_PER_REQUEST)


LIMITS = st.sampled_from([None, QuotaLimit(5.0, 10.0), QuotaLimit(50.0, 10.0)])
CONFIGURATIONS = st.lists(st.dictionaries(st.sampled_from(NAMES), LIMITS), min_size=1, max_size=6)


class Updates(unittest.TestCase):
    @given(CONFIGURATIONS, st.lists(st.sampled_from([1, 1, 2]), min_size=6, max_size=6))
    def test_an_update_by_what_changed_is_the_same_as_one_of_all_tenants(self, configurations, epochs):
        whole, by_change = QuotaOwner(BOUNDS, 1.0), QuotaOwner(BOUNDS, 1.0)
        former: dict[str, Tenant] = {}
        view = OwnerView(0, "", ())
        for version, (limits, epoch) in enumerate(zip(configurations, epochs), 1):
            tenants = {name: Tenant(name, limit) for name, limit in limits.items()}
            changed = {name for name in tenants.keys() | former.keys() if tenants.get(name) != former.get(name)}
            next_view = OwnerView(max(view.epoch, epoch), CHAIN[0], CHAIN if epoch == 1 else CHAIN[:2])
            expected = whole.update(next_view, tenants, version, float(version))
            if next_view == view:
                change = complete(by_change.update_tenants_steps(tenants, changed, version, float(version)))
            else:
                change = by_change.update(next_view, tenants, version, float(version))
            self.assertEqual(change, expected)
            for accounts in ("accounts", "_closed"):
                found, wanted = (
                    {name: (account.limit, account.grants_from) for name, account in getattr(owner, accounts).items()}
                    for owner in (by_change, whole)
                )
                self.assertEqual(found, wanted)
            former, view = tenants, next_view


if __name__ == "__main__":
    unittest.main()
