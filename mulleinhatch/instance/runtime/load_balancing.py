"""The spread's I/O: ops go to peers over the callers' protocol, the core's words are carried. Imported only where it is on."""

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
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime.instance_settings import Placement
from mulleinhatch.instance.transport.peers import ConnectFailedError, ConnectionLostError, Peers

LOG = logging.getLogger(__name__)
ANSWER_ROOM = 0.08  # seconds that a peer's answer has to come back before ours is due
NUDGE = 0.005  # seconds until others hear of what changed here
AT_MOST = 30.0  # seconds for an op that tells no time
UNRUN = (429, 503, 400, 404, 405, 408, 409, 411, 413, 431)  # by these it never ran there


class SpreadSide:
    def __init__(
        self,
        placement: Placement,
        fleet: GossipNode,
        reducer: Reducer,
        take: Callable[..., None],
        send: Callable[[list[tuple[str, bytes]]], None],
    ) -> None:
        bounds = placement.spread
        if not bounds.at:
            bounds = bounds._replace(at=":".join(map(str, placement.listen)))
        self.reducer, self.take, self.send = reducer, take, send
        self.core = LoadBalancer(bounds, fleet, placement.seed, time.monotonic(), returns=True)
        self.peers = Peers(bounds.links, http_peers.parse_response_head, time.monotonic)
        self.counts: Counter[str] = Counter()
        self.told_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        fleet.handover_address = bounds.at if bounds.hand_over else ""
        reducer.keeps_handover_data = True
        self.nudged = False
        reducer.on_run_ended, reducer.on_client_request = self._ran, self._came

    def _ran(self, *told: Any) -> None:
        self.core.record_run(*told)
        self._nudge()

    def _came(self, *told: Any) -> None:
        self.core.record_arrival(*told)
        self._nudge()

    def _nudge(self) -> None:
        """Once for all that happens in a moment, after it was decided on."""
        if not self.nudged:
            self.nudged = True
            asyncio.get_running_loop().call_later(NUDGE, self._nudges)

    def _nudges(self) -> None:
        self.nudged, now = False, time.monotonic()
        self.send(self.core.on_load_change(now, self._here()))
        self.tell(now)

    def _here(self) -> InstanceLoad:
        reducer = self.reducer
        return InstanceLoad(
            reducer.free_capacity(time.monotonic()),
            reducer.transferable_count(),
            int(reducer.controller.limit) if reducer.controller else 1,
            reducer.stop_at is not None,
            bool(reducer.storms and reducer.storms.on),
        )

    def beat(self, now: float) -> list[tuple[str, bytes]]:
        letters = self.core.heartbeat(now, self._here())
        self.peers.sweep()
        self.tell(now)
        return letters

    def heard(self, now: float) -> list[tuple[str, bytes]]:
        """After letters came: at once, for an offer is worth most to an op that waits now."""
        self.core.load = self.core.load._replace(free_slots=self.reducer.free_capacity(now))
        self.tell(now)
        return self.core.take_messages()

    def tell(self, now: float) -> None:
        """The module counts down what it hands over, and so do we (`hand`)."""
        count = self.core.count_offers(now) if self.reducer.requests else 0
        if count != self.told_count:
            self.told_count = count
            self.take(Event.PEER_OFFERS_CHANGED, count)

    def came(self, number: bytes) -> None:
        self.core.offer_issuer.redeem(time.monotonic(), int(number) if number.isdigit() and len(number) < 19 else 0)

    # Handing over.

    def hand(self, ref: str, *told: Any) -> None:
        self.told_count -= 1
        offer = self.core.take_offer(time.monotonic())
        if offer is None:
            self.counts["hand_offers_over"] += 1
            # Not within the errands of the happening that decided it: it would be told in the middle of another.
            asyncio.get_running_loop().call_soon(self.take, Event.HANDOVER_ENDED, ref, Ending.UNREACHABLE, b"")
            return
        task = asyncio.ensure_future(self._hand(offer, ref, *told))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _hand(
        self,
        offer: ReceivedOffer,
        ref: str,
        op_type: str,
        tenant: str,
        body: bytes,
        age: float,
        left: float,
        caller: int,
        work: float,
        kb: float,
        again: bool,
        rank: float,
        key: str,
    ) -> None:
        wait = max(0.01, left - ANSWER_ROOM) if left else 0.0
        pieces = http_peers.write_handover_request(
            ref,
            op_type,
            tenant,
            body,
            1000.0 * (time.time() - age),
            1000.0 * (age + wait) if wait else 0.0,
            caller,
            work,
            kb,
            again,
            rank,
            offer.number,
            offer.address,
            key,
        )
        ending, result = Ending.INTERRUPTED, b""
        try:
            status, result = await self.peers.ask(offer.address, pieces, wait or AT_MOST)
            ending = Ending.OK if status == 200 else Ending.FULL if status in UNRUN else Ending.ERROR
            self.counts[f"hand_answers_{status}"] += 1
        except ConnectFailedError:
            ending = Ending.UNREACHABLE
        except ConnectionLostError as error:
            LOG.debug("hand-over broke off", extra={"fields": {"ref": ref, "peer": offer.issuer, "error": error}})
        except Exception:
            self.counts["spread_errors_inside"] += 1
            LOG.exception("error inside", extra={"fields": {"at": "hand-over"}})
        finally:
            now = time.monotonic()
            self.core.record_handover(
                now, offer, ending in (Ending.ERROR, Ending.INTERRUPTED), ending in (Ending.UNREACHABLE, Ending.INTERRUPTED)
            )
            self.take(Event.HANDOVER_ENDED, ref, ending, result if ending is Ending.OK else b"")

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.peers.close()

    def told(self, now: float) -> dict[str, Any]:
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

    def counted(self) -> dict[str, int]:
        core = self.core
        return {
            **self.counts,
            **core.offer_issuer.counts,
            **core.offer_receiver.counts,
            **{f"spread_{name}": count for name, count in core.counts.items()},
            "ops_at_peers": self.reducer.handed_over_count,
        }
