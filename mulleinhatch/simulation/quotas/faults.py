"""Random faults of one history: events that affect control-plane nodes, views, limits and the network."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mulleinhatch.quotas.limits import GRANT_LIFETIME_S, longest_use_s
from mulleinhatch.quotas.owner import owner_address
from mulleinhatch.tenants.tenant import QuotaLimit

if TYPE_CHECKING:
    from mulleinhatch.simulation.quotas.world import QuotaWorld

MAX_FAULTS = 4
LONGEST_FREEZE_S = 2.0
FREEZE_AFTER_S = 0.4  # after the start of the flood, when the bucket is empty
SLOW_ANSWER_S = 0.24  # just below a data plane's query timeout
LIMIT_FACTORS = (0.5, 1.0, 2.0)  # of the first limit


class FaultSchedule:
    """The faults of one history, from shortly before the flood until the calm time.

    Args:
        world: The world that they affect.
    """

    def __init__(self, world: QuotaWorld) -> None:
        self._world, self._source = world, world.source
        self._first_limit = world.limits.latest
        self._actions = {
            "view_change": self._view_change,
            "missed_view": self._missed_view,
            "short_absence": self._short_absence,
            "view_missed_by_others": self._view_missed_by_others,
            "owner_cut": self._owner_cut,
            "owner_kill": self._owner_kill,
            "owner_restart": self._owner_restart,
            "owner_freeze": self._owner_freeze,
            "holder_freeze": self._holder_freeze,
            "all_holders_freeze": self._all_holders_freeze,
            "slow_answers": self._slow_answers,
            "holder_restart": self._holder_restart,
            "limit_change": self._limit_change,
            "network": self._network_fault,
        }
        self._kinds = [self._source.choice(sorted(self._actions)) for _ in range(self._source.randrange(MAX_FAULTS + 1))]
        world.history.faults.extend(self._kinds)

    def draw_release(self, flood_from: float) -> float:
        """Return the time until which writes are delayed: the worst one for faults that prolong the use of a grant."""
        if "slow_answers" in self._kinds:
            return flood_from + SLOW_ANSWER_S + longest_use_s(GRANT_LIFETIME_S) - 0.01
        if "all_holders_freeze" in self._kinds:
            return flood_from + FREEZE_AFTER_S + self._source.uniform(0.6, LONGEST_FREEZE_S)
        return flood_from + self._source.choice((0.0, GRANT_LIFETIME_S, longest_use_s(GRANT_LIFETIME_S)))

    def schedule(self) -> None:
        """Schedule the faults."""
        world = self._world
        fixed = {"slow_answers": world.flood_from - 0.01, "all_holders_freeze": world.flood_from + FREEZE_AFTER_S}
        for kind in self._kinds:
            drawn = self._source.uniform(world.flood_from - 0.5, world.calm_from)
            world.queue.at(fixed.get(kind, drawn), self._actions[kind])

    def _alive(self) -> list[str]:
        return [address for address, machine in self._world.machines.items() if not machine.is_dead]

    def _owner(self) -> str:
        """Return the owner in the newest view, or another control-plane node if it is dead."""
        address = self._world.owner()
        return address if address in self._alive() else self._source.choice(self._alive())

    def _view_change(self) -> None:
        """Decide a view with some of the control-plane nodes, with or without the owner."""
        chain = [address for address in self._alive() if self._source.random() < 0.7] or self._alive()
        self._world.decide_view(tuple(chain))

    def _missed_view(self) -> None:
        """Decide a view without the owner, which never learns it, and soon after one with the owner."""
        owner, chain = self._owner(), tuple(self._alive())
        others = tuple(address for address in chain if address != owner) or chain
        self._world.decide_view(others, missed_by=frozenset({owner}))
        self._schedule_follow_up(0.3, 3.0, self._decide_alive, chain)

    def _short_absence(self) -> None:
        """Decide a view without the owner, which stays connected, and soon after one with the owner."""
        owner, chain = self._owner(), tuple(self._alive())
        others = tuple(address for address in chain if address != owner) or chain
        self._world.decide_view(others)
        self._schedule_follow_up(0.0, 2.5, self._decide_alive, chain)

    def _view_missed_by_others(self) -> None:
        """Decide a view without the owner that only the second owner is certain to learn, and soon after one without both.

        The first owner may be partitioned in between and then sees only the second view.
        """
        world, chain, owner = self._world, tuple(self._alive()), self._owner()
        others = tuple(address for address in chain if address != owner) or chain
        second = owner_address(world.tenant, others)
        last = tuple(address for address in others if address != second) or others
        if self._source.random() < 0.7:
            world.machines[owner].cut(world.queue.now)
        world.decide_view(others, missed_by=frozenset(last) - {second})
        self._schedule_follow_up(0.3, 2.5, self._heal_into, owner, last)

    def _heal_into(self, owner: str, chain: tuple[str, ...]) -> None:
        """End the partition of a control-plane node and decide a view, which it learns first."""
        self._world.machines[owner].heal(self._world.queue.now)
        self._decide_alive(chain)

    def _schedule_follow_up(self, least_s: float, most_s: float, act: Callable[..., None], *arguments: Any) -> None:
        """Schedule the second part of a fault, before the calm time starts."""
        when = self._world.queue.now + self._source.uniform(least_s, most_s)
        self._world.queue.at(min(when, self._world.calm_from - 0.001), act, *arguments)

    def _decide_alive(self, chain: tuple[str, ...]) -> None:
        """Decide a view with the members of a chain that are still alive."""
        alive = tuple(address for address in chain if address in self._alive())
        self._world.decide_view(alive or tuple(self._alive()))

    def _owner_cut(self) -> None:
        """Partition the owner, decide a view without it, and end the partition later."""
        world, owner = self._world, self._owner()
        machine = world.machines[owner]
        machine.cut(world.queue.now)
        others = tuple(address for address in self._alive() if address != owner) or (owner,)
        self._schedule_follow_up(0.0, 1.5, self._decide_alive, others)
        world.queue.at(world.queue.now + self._source.uniform(0.5, 5.0), self._heal, owner)

    def _heal(self, address: str) -> None:
        self._world.machines[address].heal(self._world.queue.now)
        self._world.learn(address)

    def _owner_kill(self) -> None:
        """Kill the owner's process permanently; the view without it is decided one second later."""
        world, owner = self._world, self._owner()
        if len(self._alive()) < 2:
            return
        world.kill_machine(owner)
        world.queue.at(world.queue.now + 1.0, self._decide_view_of_alive)

    def _decide_view_of_alive(self) -> None:
        self._world.decide_view(tuple(self._alive()))

    def _owner_restart(self) -> None:
        self._world.restart_machine(self._owner())

    def _owner_freeze(self) -> None:
        world, owner = self._world, self._owner()
        world.machines[owner].frozen_until = world.queue.now + self._source.uniform(0.1, LONGEST_FREEZE_S)

    def _holder_freeze(self) -> None:
        holder = self._source.choice(self._world.holders)
        holder.frozen_until = self._world.queue.now + self._source.uniform(0.1, LONGEST_FREEZE_S)

    def _all_holders_freeze(self) -> None:
        """Freeze all data planes, with the tokens that they hold, until the release time."""
        for holder in self._world.holders:
            holder.frozen_until = max(holder.frozen_until, self._world.release_at)

    def _slow_answers(self) -> None:
        """Delay each response until the release time, so that a lifetime counted from the response would end later."""
        self._world.answer_delay_s = SLOW_ANSWER_S
        self._world.queue.at(self._world.release_at, self._end_slow_answers)

    def _end_slow_answers(self) -> None:
        self._world.answer_delay_s = 0.0

    def _holder_restart(self) -> None:
        self._source.choice(self._world.holders).restart(self._source.uniform(-1e4, 1e4))

    def _limit_change(self) -> None:
        first, factor = self._first_limit, self._source.choice(LIMIT_FACTORS)
        self._world.change_limit(QuotaLimit(first.rate_per_s * factor, first.burst * factor))

    def _network_fault(self) -> None:
        """Lose, delay and duplicate messages from now on."""
        self._world.has_fault = True
