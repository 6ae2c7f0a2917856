"""The polls of a data plane on sockets: how long it is without news while nodes are silent or unconfirmed."""

from __future__ import annotations

import asyncio
import json
import os
import unittest
import zlib
from dataclasses import replace

from mulleinhatch.data_plane import confirmation_watch
from mulleinhatch.data_plane.confirmation_watch import ConfirmationWatch
from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient
from mulleinhatch.data_plane.poll_targets import MAX_CALLED, SILENT_S, UNCONFIRMED_S, PollTargets
from mulleinhatch.membership.rendezvous import rank_by_weight
from mulleinhatch.messages.cluster import ContactRequest, PollRequest, PollResponse
from mulleinhatch.networking.http_client import HttpClient
from mulleinhatch.networking.http_streaming import MessageReader, write_response
from mulleinhatch.process.settings import Bounds, Settings

PORT = 17993
NETWORK = 1 + os.getpid() % 250  # test processes that run at the same time use different addresses
LIVE = [f"127.2.{NETWORK}.{number}:{PORT}" for number in (1, 2, 3)]
DEAD = [f"127.3.{NETWORK}.{number}:{PORT}" for number in (1, 2, 3)]
MANY_DEAD = [f"127.3.{NETWORK}.{number}:{PORT}" for number in range(1, 8)]  # more than are polled within a second
# Two thirds of the shortest `configuration_apply_ms` of the deployments, 2 s.
LONGEST_LAG_S = 1.33


def settings(seeds: list[str]) -> Settings:
    return Settings(
        name="data-1",
        ip_address="127.0.95.1",
        zone="z",
        region="r",
        listen={},
        internal_address=f"127.0.95.1:{PORT}",
        seeds=tuple(seeds),
        first_start=False,
        counts_for_quorum=False,
        machines_tolerated=1,
        heartbeat_s=1.0,
        data_directory="",
        file_descriptors=100,
        memory_mb=100.0,
        regions_of_zones={},
        bounds=Bounds(),
    )


class Core:
    """Control-plane nodes that answer polls; those of `silent` accept connections and never answer."""

    def __init__(self) -> None:
        self.version, self.epoch, self.is_confirmed = 1, 1, True
        self.silent: set[str] = set(MANY_DEAD)
        self.polled: list[str] = []
        self.change = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        for address in (*LIVE, *MANY_DEAD):
            host, _, port = address.rpartition(":")
            self._servers.append(await asyncio.start_server(self._handler_of(address), host, int(port)))

    def stop(self) -> None:
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def notify(self) -> None:
        change, self.change = self.change, asyncio.Event()
        change.set()

    def _handler_of(self, address: str):
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._tasks.add(asyncio.current_task())
            messages = MessageReader(reads_responses=False)
            body, is_begun = b"", False
            try:
                while data := await reader.read(65536):
                    messages.feed(data)
                    is_begun = is_begun or messages.head() is not None
                    if is_begun:
                        body += messages.body()
                    if not is_begun or not messages.done:
                        continue
                    request = PollRequest().parse(body)
                    messages.next()
                    body, is_begun = b"", False
                    self.polled.append(address)
                    answer = await self._answer(request)
                    while address in self.silent:
                        await asyncio.sleep(0.05)
                    writer.write(write_response(200, [], answer))
            except (OSError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        return handle

    async def _answer(self, request: PollRequest) -> bytes:
        if self.is_confirmed and request.configuration_version >= self.version and request.wait_ms:
            try:
                async with asyncio.timeout(request.wait_ms / 1000.0):
                    await self.change.wait()
            except TimeoutError:
                pass
        text = json.dumps({"version": self.version, "routes": [], "services": []}).encode()
        response = PollResponse(
            authoritative=self.is_confirmed, epoch=self.epoch, configuration_version=self.version, control_addresses=LIVE
        )
        if self.is_confirmed and request.configuration_version < self.version:
            response.configuration = zlib.compress(text)
        return bytes(response)


class PollRoundTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = Core()
        self.addCleanup(self.core.stop)
        await self.core.start()
        loop = asyncio.get_running_loop()
        self.link = ControlPlaneClient(settings(DEAD), HttpClient(), loop.time, lambda snapshot: None)
        self.link._targets.publish(LIVE)  # as a control plane does that has replaced all its first nodes
        running = asyncio.ensure_future(self.link.run())
        self.addCleanup(running.cancel)
        await self._lag_s(1)

    async def _lag_s(self, version: int) -> float:
        """Return the seconds until a version is in force."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with asyncio.timeout(10.0):
            while self.link.snapshot.table.version < version:
                await asyncio.sleep(0.01)
        return loop.time() - began_at

    # Guards against a data plane that asks silent former nodes, one after another, before those that are confirmed again
    # (CONFIG: 2.5 s after the acknowledgement it still acted by the version before).
    async def test_silent_former_nodes_do_not_delay_a_configuration_after_a_view_change(self):
        self.core.is_confirmed, self.core.epoch = False, 2
        self.core.notify()
        await asyncio.sleep(0.35)
        self.core.is_confirmed, self.core.version = True, 2
        self.assertLess(await self._lag_s(2), LONGEST_LAG_S)

    # Guards against time limits that add up while the polled node and the next one are silent.
    async def test_two_silent_nodes_delay_a_configuration_by_less_than_two_thirds_of_the_bound(self):
        first, second, _ = rank_by_weight("data-1", LIVE)
        await asyncio.sleep(0.1)
        self.core.silent |= {first, second}
        self.core.version = 2
        self.assertLess(await self._lag_s(2), LONGEST_LAG_S + 0.15)

    async def test_a_node_that_answers_is_polled_alone(self):
        first, *_ = rank_by_weight("data-1", LIVE)
        self.core.polled.clear()
        for version in (2, 3, 4):
            self.core.version = version
            self.core.notify()
            self.assertLess(await self._lag_s(version), 0.5)
        self.assertEqual(set(self.core.polled), {first})

    async def test_the_first_node_is_polled_again_after_it_was_silent(self):
        first, second, _ = rank_by_weight("data-1", LIVE)
        self.core.silent.add(first)
        self.core.version = 2
        await self._lag_s(2)
        self.core.silent.discard(first)
        await asyncio.sleep(SILENT_S + 1.3)
        self.core.polled.clear()
        await asyncio.sleep(1.2)
        self.assertEqual(set(self.core.polled), {first})


def first_living(polled: list[str]) -> int:
    """Return the position of the first living node among those that were polled."""
    return next(position for position, address in enumerate(polled) if address in LIVE)


class NewTargetsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = Core()
        self.addCleanup(self.core.stop)
        await self.core.start()
        self.link = ControlPlaneClient(
            settings(MANY_DEAD), HttpClient(), asyncio.get_running_loop().time, lambda snapshot: None
        )
        running = asyncio.ensure_future(self.link.run())
        self.addCleanup(running.cancel)

    # Guards against a data plane that goes on polling addresses which are gone while its settings name living ones (CONFIG).
    async def test_new_seeds_are_polled_at_once_while_no_node_answers(self):
        await asyncio.sleep(0.3)  # in the middle of a round of polls
        polls = len(self.core.polled)
        self.link.replace_seeds(LIVE)
        async with asyncio.timeout(LONGEST_LAG_S):
            while not self.link.snapshot.table.version:
                await asyncio.sleep(0.01)
        self.assertIn(first_living(self.core.polled[polls:]), (0, 1))  # one poll may have been on its way

    async def test_new_seeds_do_not_end_the_poll_of_a_node_that_confirms_the_configuration(self):
        self.link.replace_seeds(LIVE)
        async with asyncio.timeout(2.0):
            while not self.link.snapshot.table.version:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        polls = len(self.core.polled)
        self.link.replace_seeds([*LIVE, *DEAD])
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.core.polled), polls)


class CallsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.core = Core()
        self.addCleanup(self.core.stop)
        await self.core.start()
        self.is_first_start = False

    def start(self) -> None:
        own = replace(settings(MANY_DEAD), first_start=self.is_first_start)
        self.link = ControlPlaneClient(own, HttpClient(), asyncio.get_running_loop().time, lambda snapshot: None)
        running = asyncio.ensure_future(self.link.run())
        self.addCleanup(running.cancel)

    def call(self, name: str = "data-1", incarnation: int = 1, epoch: int = 1, addresses: list[str] = LIVE) -> bool:
        """Call the data plane; return whether it knows itself by that name and incarnation."""
        return self.link.on_call(ContactRequest(name, incarnation, epoch, addresses)).is_known

    def named_by_calls(self) -> set[str]:
        """Return the addresses that only calls named."""
        return {address for address, one in self.link.targets_status().items() if one["named_by"] == "call"}

    async def is_configured_within(self, seconds: float) -> bool:
        """Return whether a configuration is in force after some seconds at most."""
        try:
            async with asyncio.timeout(seconds):
                while not self.link.snapshot.table.version:
                    await asyncio.sleep(0.01)
        except TimeoutError:
            return False
        return True

    # Guards against a data plane that nobody calls while every address that it knows is gone (CONFIG).
    async def test_the_nodes_that_a_call_names_are_polled_at_once(self):
        self.start()
        await asyncio.sleep(0.3)  # in the middle of a round of polls
        polls = len(self.core.polled)
        self.assertTrue(self.call())
        self.assertEqual(self.named_by_calls(), set(LIVE))
        self.assertTrue(await self.is_configured_within(LONGEST_LAG_S))
        self.assertIn(first_living(self.core.polled[polls:]), (0, 1))  # one poll may have been on its way
        self.assertEqual(self.named_by_calls(), set())

    async def test_a_call_for_another_name_has_no_effect(self):
        self.start()
        self.assertFalse(self.call(name="data-2"))
        self.assertFalse(await self.is_configured_within(0.5))

    # Guards against a former system at the same addresses whose nodes call a data plane of the new one.
    async def test_a_process_that_was_started_with_the_system_rejects_calls_of_another_incarnation(self):
        self.is_first_start = True
        self.start()
        self.assertFalse(self.call())
        self.assertFalse(await self.is_configured_within(0.5))
        self.assertTrue(self.call(incarnation=self.link._incarnation))
        self.assertTrue(await self.is_configured_within(LONGEST_LAG_S))

    async def test_a_call_by_an_older_view_has_no_effect(self):
        self.core.epoch = 5
        self.start()
        self.link.replace_seeds(LIVE)
        self.assertTrue(await self.is_configured_within(2.0))
        self.core.silent |= set(LIVE)
        await asyncio.sleep(4.0)
        self.assertTrue(self.call(epoch=4, addresses=["127.4.0.1:1"]))
        self.assertEqual(self.named_by_calls(), set())
        self.assertTrue(self.call(epoch=5, addresses=["127.4.0.1:1"]))
        self.assertEqual(self.named_by_calls(), {"127.4.0.1:1"})

    async def test_calls_change_nothing_while_a_node_confirms_the_configuration(self):
        self.start()
        self.link.replace_seeds(LIVE[:1])
        self.assertTrue(await self.is_configured_within(2.0))
        self.assertTrue(self.call(epoch=9, addresses=["127.4.0.1:1"]))
        self.assertEqual(self.named_by_calls(), set())


class ConfirmationWatchTest(unittest.TestCase):
    def setUp(self):
        self.targets = PollTargets("data-1", DEAD[:2])
        self.watch = ConfirmationWatch(self.targets, 2.0, 10.0)

    def warnings(self, *times: float) -> list[dict[str, object]]:
        """Return the warnings while no node confirms the configuration at some times."""
        with self.assertLogs(level="INFO") as logs:
            confirmation_watch.LOG.info("begin")
            for now in times:
                self.watch.record_unconfirmed(7, now)
        return [vars(record) for record in logs.records[1:]]

    # Guards against a data plane without contact whose log does not tell it (CONFIG: it acted by an older version for good).
    def test_the_log_tells_since_when_no_known_node_confirms_the_configuration(self):
        self.targets.record_answer(DEAD[0], False, 10.0)
        self.watch.record_confirmed(DEAD[0], 11.0)
        (first,) = self.warnings(11.9, 12.0)
        self.assertEqual((first["version"], first["unconfirmed_s"]), (7, 1.0))
        self.assertEqual((first["silent"], first["without_majority"]), ([DEAD[1]], [DEAD[0]]))

    def test_warnings_become_rarer_and_the_end_is_logged(self):
        self.assertEqual([one["unconfirmed_s"] for one in self.warnings(11.0, 12.0, 13.0, 13.9, 14.1, 16.0)], [1.0, 2.0, 4.1])
        with self.assertLogs(level="INFO") as logs:
            self.watch.record_confirmed(DEAD[0], 20.0)
        self.assertEqual(vars(logs.records[0])["unconfirmed_s"], 10.0)
        self.assertEqual(self.warnings(20.9), [])

    def test_the_status_tells_who_named_each_node_and_whether_it_answers(self):
        self.targets.publish(LIVE[:1])
        self.targets.record_answer(LIVE[0], True, 10.0)
        status = self.targets.status()
        self.assertEqual(status[LIVE[0]], {"named_by": "control plane", "responsive": True})
        self.assertEqual(status[DEAD[0]], {"named_by": "settings", "responsive": False})


class PollTargetsTest(unittest.TestCase):
    def setUp(self):
        self.targets = PollTargets("data-1", DEAD)
        self.targets.publish(LIVE)
        self.order = rank_by_weight("data-1", LIVE)

    def test_published_nodes_come_before_the_others(self):
        self.assertEqual(self.targets.ranked(0.0)[:3], self.order)

    def test_an_unconfirmed_node_comes_after_the_published_ones_and_before_the_others(self):
        self.targets.record_answer(self.order[0], False, 0.0)
        self.assertEqual(self.targets.ranked(0.1)[:3], [*self.order[1:], self.order[0]])
        self.assertEqual(self.targets.ranked(UNCONFIRMED_S)[:3], self.order)

    def test_a_silent_node_comes_last(self):
        self.targets.record_silence(self.order[0], 0.0)
        self.assertEqual(self.targets.ranked(0.1)[-1], self.order[0])
        self.assertFalse(self.targets.is_responsive(self.order[0]))
        self.assertEqual(self.targets.ranked(SILENT_S)[:3], self.order)

    def test_only_the_latest_addresses_of_calls_are_kept(self):
        addresses = [f"127.4.0.{number}:1" for number in range(2 * MAX_CALLED)]
        for address in addresses:
            self.assertTrue(self.targets.add_called([address]))
        named = {address for address, one in self.targets.status().items() if one["named_by"] == "call"}
        self.assertEqual(named, set(addresses[-MAX_CALLED:]))
        self.assertFalse(self.targets.add_called(addresses[-1:]))

    def test_nodes_that_a_call_named_come_after_the_published_ones_and_before_those_of_the_settings(self):
        self.targets.add_called(["127.4.0.1:1"])
        self.assertEqual(self.targets.ranked(0.0)[:4], [*self.order, "127.4.0.1:1"])
        targets = PollTargets("data-1", DEAD)
        targets.add_called(["127.4.0.1:1"])
        self.assertEqual(targets.ranked(0.0)[0], "127.4.0.1:1")

    def test_without_published_nodes_the_seeds_are_asked(self):
        self.assertEqual(PollTargets("data-1", DEAD).ranked(0.0), rank_by_weight("data-1", DEAD))


if __name__ == "__main__":
    unittest.main()
