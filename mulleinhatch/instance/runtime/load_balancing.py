"""Load balancing I/O: hands requests over to peers by the client protocol. Imported only where load balancing is on."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.gossip.core import GossipNode
from mulleinhatch.instance.load_balancing.core import InstanceLoad, LoadBalancer
from mulleinhatch.instance.load_balancing.offers import ReceivedOffer
from mulleinhatch.instance.protocol import http_peers
from mulleinhatch.instance.protocol.http_requests import IncomingRequest
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime.callbacks import EventHandler
from mulleinhatch.instance.runtime.instance_settings import InstanceSettings
from mulleinhatch.instance.transport.peer_connections import ConnectFailedError, ConnectionLostError, PeerConnections

LOG = logging.getLogger(__name__)
ANSWER_MARGIN_S = 0.08  # seconds before our own deadline by which a peer must answer
LOAD_CHANGE_DELAY_S = 0.005  # seconds; changes within this time are reported together
MAX_HANDOVER_S = 30.0  # seconds; timeout for a request without a deadline
NOT_EXECUTED_STATUSES = (429, 503, 400, 404, 405, 408, 409, 411, 413, 431)  # the peer did not execute the request


class LoadBalancingService:
    """Connects the load balancing core to gossip, to the reducer and to the peers.

    Args:
        settings: Settings of the instance.
        fleet: The gossip core that carries offers and reports.
        reducer: Read for load and capacity.
        handle_event: Passes events to the reducer.
        send: Sends datagrams.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        fleet: GossipNode,
        reducer: Reducer,
        handle_event: EventHandler,
        send: Callable[[list[tuple[str, bytes]]], None],
    ) -> None:
        bounds = settings.spread
        if not bounds.at:
            bounds = bounds._replace(at=":".join(map(str, settings.listen)))
        self.reducer, self.handle_event, self.send = reducer, handle_event, send
        self.core = LoadBalancer(bounds, fleet, settings.seed, time.monotonic(), is_warming_up=True)
        self.peers = PeerConnections(bounds.links, http_peers.parse_response_head, time.monotonic)
        self.counts: Counter[str] = Counter()
        self.published_offer_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        fleet.handover_address = bounds.at if bounds.hand_over else ""
        reducer.keeps_handover_data = True
        self.is_load_change_scheduled = False
        reducer.on_run_ended, reducer.on_client_request = self._record_run, self._record_request

    def _record_run(self, *arguments: Any) -> None:
        self.core.record_run(*arguments)
        self._schedule_load_change()

    def _record_request(self, *arguments: Any) -> None:
        self.core.record_arrival(*arguments)
        self._schedule_load_change()

    def _schedule_load_change(self) -> None:
        """Report a change of load shortly afterwards: once for all events within the delay, after their decisions."""
        if not self.is_load_change_scheduled:
            self.is_load_change_scheduled = True
            asyncio.get_running_loop().call_later(LOAD_CHANGE_DELAY_S, self._send_load_change)

    def _send_load_change(self) -> None:
        self.is_load_change_scheduled, now = False, time.monotonic()
        self.send(self.core.on_load_change(now, self._current_load()))
        self.publish_offer_count(now)

    def _current_load(self) -> InstanceLoad:
        reducer = self.reducer
        return InstanceLoad(
            reducer.free_capacity(time.monotonic()),
            reducer.transferable_count(),
            int(reducer.controller.limit) if reducer.controller else 1,
            reducer.stop_at is not None,
            bool(reducer.storms and reducer.storms.is_active),
        )

    def heartbeat(self, now: float) -> list[tuple[str, bytes]]:
        """Return the datagrams of a heartbeat."""
        datagrams = self.core.heartbeat(now, self._current_load())
        self.peers.close_idle()
        self.publish_offer_count(now)
        return datagrams

    def on_datagram(self, now: float) -> list[tuple[str, bytes]]:
        """Handle the changes by a datagram at once, as a waiting request gains most from a new offer; return datagrams."""
        self.core.load = self.core.load._replace(free_slots=self.reducer.free_capacity(now))
        self.publish_offer_count(now)
        return self.core.take_messages()

    def publish_offer_count(self, now: float) -> None:
        """Report how many requests peers have capacity for; `hand_over` counts down, as the admission controller does."""
        count = self.core.count_offers(now) if self.reducer.requests else 0
        if count != self.published_offer_count:
            self.published_offer_count = count
            self.handle_event(Event.PEER_OFFERS_CHANGED, count)

    def accept_handover(self, number: bytes) -> None:
        """Record that a peer used the offer with this number."""
        self.core.offer_issuer.redeem(time.monotonic(), int(number) if number.isdigit() and len(number) < 19 else 0)

    # Handover.

    def hand_over(self, request_id: str, *arguments: Any) -> None:
        """Hand a request over to a peer that offered capacity."""
        self.published_offer_count -= 1
        offer = self.core.take_offer(time.monotonic())
        if offer is None:
            self.counts["hand_offers_over"] += 1
            # Deferred, because the actions of the event that decided this are still being performed.
            asyncio.get_running_loop().call_soon(self.handle_event, Event.HANDOVER_ENDED, request_id, Ending.UNREACHABLE, b"")
            return
        task = asyncio.ensure_future(self._send_handover(offer, request_id, *arguments))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send_handover(
        self,
        offer: ReceivedOffer,
        request_id: str,
        op_type: str,
        tenant: str,
        body: bytes,
        age_s: float,
        remaining_s: float,
        client: int,
        cost_s: float,
        memory_kb: float,
        is_retry: bool,
        rank: float,
        key: str,
    ) -> None:
        timeout_s = max(0.01, remaining_s - ANSWER_MARGIN_S) if remaining_s else 0.0
        request = IncomingRequest(request_id, op_type, tenant, age_s, timeout_s, client, cost_s, memory_kb, is_retry, key, rank)
        pieces = http_peers.write_handover_request(request, body, time.time(), offer.number, offer.address)
        ending, result = Ending.INTERRUPTED, b""
        try:
            status, result = await self.peers.request(offer.address, pieces, timeout_s or MAX_HANDOVER_S)
            ending = Ending.OK if status == 200 else Ending.FULL if status in NOT_EXECUTED_STATUSES else Ending.ERROR
            self.counts[f"hand_answers_{status}"] += 1
        except ConnectFailedError:
            ending = Ending.UNREACHABLE
        except ConnectionLostError as error:
            LOG.debug(
                "connection to a peer broke during a handover",
                extra={"fields": {"ref": request_id, "peer": offer.issuer, "error": error}},
            )
        except Exception:
            self.counts["spread_errors_inside"] += 1
            LOG.exception("unexpected exception", extra={"fields": {"at": "handover"}})
        finally:
            now = time.monotonic()
            self.core.record_handover(
                now, offer, ending in (Ending.ERROR, Ending.INTERRUPTED), ending in (Ending.UNREACHABLE, Ending.INTERRUPTED)
            )
            self.handle_event(Event.HANDOVER_ENDED, request_id, ending, result if ending is Ending.OK else b"")

    def close(self) -> None:
        """Cancel the handovers in progress and close the connections."""
        for task in self.tasks:
            task.cancel()
        self.peers.close()

    def status(self, now: float) -> dict[str, Any]:
        """Return the figures for the fleet status."""
        core = self.core
        pace = core.estimate(now)
        return {
            "room": core.load.free_slots,
            "held": core.load.pending,
            "places": core.load.slots,
            "wish": round(core.redirect_fraction, 3),
            "load": round(core.observation.own, 3),
            "fleet_load": round(core.observation.fleet, 3),
            "pace": pace
            and {
                "value": round(pace.value, 3),
                "least": round(pace.least, 3),
                "most": round(pace.most, 3),
                "age": round(min(1e6, pace.age), 1),
            },
            "offers_out": core.offer_issuer.outstanding(now),
            "offers_held": core.offer_receiver.count(now),
            "away": self.reducer.handed_over_count,
            "held_back": core.suspension_reason(),
        }

    def counters(self) -> dict[str, int]:
        """Return all counters by name."""
        core = self.core
        return {
            **self.counts,
            **core.offer_issuer.counts,
            **core.offer_receiver.counts,
            **{f"spread_{name}": count for name, count in core.counts.items()},
            "ops_at_peers": self.reducer.handed_over_count,
        }
