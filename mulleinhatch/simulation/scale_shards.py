"""A world of simulated instances played by several processes, in windows of virtual time; its history is that of one process.

The synchronisation is conservative: no datagram takes less than `LOOKAHEAD`, so each process may run that far beyond the
earliest event of all without hearing from the others. Datagrams that cross a border are handed over at its end and ordered by
(time, sender, sequence).
"""

from __future__ import annotations

import contextlib
import gc
import marshal
import math
import multiprocessing
import os
import pickle
import traceback
from collections import Counter
from multiprocessing.connection import Connection
from typing import Any

from mulleinhatch.simulation.scale_instances import LOOKAHEAD, Ground, InvalidPlanError, Plan
from mulleinhatch.simulation.scale_world import Event, Shard

MOST_SHARDS = 8
END = b"q"
PAGE = os.sysconf("SC_PAGE_SIZE")


def resident() -> int:
    """Return this process's resident memory in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE


def owners(ground: Ground, shards: int) -> list[int]:
    """Return the shard of each place, in ranges: most traffic of a zone stays in one process."""
    return [place * shards // ground.plan.members for place in range(ground.plan.members)]


class Player:
    """One shard behind byte messages: a window to play, or a query."""

    def __init__(self, plan: Plan, owner: list[int], index: int) -> None:
        self.base = resident()
        self.shard = Shard(plan, owner, index)

    def ready(self) -> bytes:
        return marshal.dumps((self.shard.next(), math.inf, {}))

    def answer(self, data: bytes) -> bytes:
        shard = self.shard
        if data[:1] == b"w":
            until, batches = marshal.loads(data[1:])
            for batch in batches:
                shard.take(marshal.loads(batch))
            shard.run(until)
            out, shard.out = shard.out, {}
            first = min((event[0] for events in out.values() for event in events), default=math.inf)
            return marshal.dumps((shard.next(), first, {to: marshal.dumps(events) for to, events in out.items()}))
        name, args = pickle.loads(data[1:])
        answers = resident() - self.base if name == "memory" else getattr(shard, name)(*args)
        return pickle.dumps((answers, shard.next()))


class Inline:
    """A player in this process with the interface of a pipe."""

    def __init__(self, player: Player) -> None:
        self.player, self.answer = player, player.ready()

    def send_bytes(self, data: bytes) -> None:
        self.answer = self.player.answer(data)

    def recv_bytes(self) -> bytes:
        return self.answer

    def close(self) -> None:
        self.answer = b""


def work(plan: Plan, owner: list[int], index: int, pipe: Connection, ends: list[Connection]) -> None:
    """Run a shard's process: play windows and answer queries until the pipe closes; send a traceback on any error."""
    for end in ends:
        end.close()  # inherited: while one is open here, none is seen to close
    # The cores make no cycles that matter here; walks over all instances' objects would count as each one's CPU.
    gc.disable()
    try:
        player = Player(plan, owner, index)
        pipe.send_bytes(player.ready())
        while (data := pipe.recv_bytes()) != END:
            pipe.send_bytes(player.answer(data))
    except EOFError:
        pass
    except Exception:
        pipe.send_bytes(b"!" + traceback.format_exc().encode())


class ShardStoppedError(RuntimeError):
    """A process of the world failed; the text is its traceback."""


class World:
    """A sharded world; a context manager that ends its processes.

    >>> with World(Plan(members=9, seed=3), processes=False) as world:
    ...     world.play(3.0).one()
    True
    """

    def __init__(self, plan: Plan, shards: int = 1, processes: bool = True) -> None:
        """`processes`: a process for each shard; else all in this one, in turn."""
        if not 1 <= shards <= MOST_SHARDS:
            raise InvalidPlanError(f"{shards} processes: 1 to {MOST_SHARDS} are allowed")
        self.plan, self.ground, self.now = plan, Ground(plan), 0.0
        shards = min(shards, plan.members)
        self.owner = owners(self.ground, shards)
        self.ground.faults(plan.script)  # before processes are started for it
        self.pipes: list[Connection | Inline] = []
        self.processes: list[multiprocessing.Process] = []
        self.batches: list[list[bytes]] = [[] for _ in range(shards)]
        self.first = math.inf  # arrival of the earliest datagram that waits at the border
        context = multiprocessing.get_context("fork")
        for index in range(shards):
            if not processes:
                self.pipes.append(Inline(Player(plan, self.owner, index)))
                continue
            here, there = context.Pipe()
            process = context.Process(target=work, args=(plan, self.owner, index, there, [*self.pipes, here]), daemon=True)
            process.start()
            there.close()
            self.pipes.append(here)
            self.processes.append(process)
        self.nexts = [self._answer(index)[0] for index in range(shards)]

    @property
    def local(self) -> Shard:
        """The first shard, where it is played in this process."""
        return self.pipes[0].player.shard

    def __enter__(self) -> World:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End the processes."""
        for pipe in self.pipes if self.processes else ():
            # Said, not shown by closing alone: another world's processes may hold this end too.
            with contextlib.suppress(OSError):
                pipe.send_bytes(END)
            pipe.close()
        for process in self.processes:
            process.join(5.0)
            if process.is_alive():
                process.kill()
                process.join()
        self.pipes, self.processes = [], []

    def _answer(self, index: int) -> Any:
        try:
            data = self.pipes[index].recv_bytes()
        except EOFError:
            raise ShardStoppedError(f"process {index} ended") from None
        if data[:1] == b"!":
            raise ShardStoppedError(data[1:].decode())
        return marshal.loads(data)

    def play(self, until: float) -> World:
        """Run all events before `until`."""
        self.ask("prepare", until)
        ahead = LOOKAHEAD if len(self.pipes) > 1 else math.inf
        while self.now < until:
            start = min(*self.nexts, self.first) if len(self.nexts) > 1 else self.nexts[0]
            self.now = min(start + ahead, until)
            self._window(self.now)
        return self

    def _window(self, border: float) -> None:
        for index, pipe in enumerate(self.pipes):
            batches, self.batches[index] = self.batches[index], []
            pipe.send_bytes(b"w" + marshal.dumps((border, batches)))
        self.first = math.inf
        for index in range(len(self.pipes)):
            self.nexts[index], first, answers = self._answer(index)
            self.first = min(self.first, first)
            for to, batch in answers.items():
                self.batches[to].append(batch)

    def ask(self, name: str, *args: Any) -> list[Any]:
        """Call a method of every shard and return the answers in order."""
        for pipe in self.pipes:
            pipe.send_bytes(b"a" + pickle.dumps((name, args)))
        answers = []
        for index, pipe in enumerate(self.pipes):
            data = pipe.recv_bytes()
            if data[:1] == b"!":
                raise ShardStoppedError(data[1:].decode())
            answer, self.nexts[index] = pickle.loads(data)
            answers.append(answer)
        return answers

    def _joined(self, name: str, *args: Any) -> dict[int, Any]:
        """Merge the shards' answers, which are by place, in the order of places."""
        answers: dict[int, Any] = {}
        for answer in self.ask(name, *args):
            answers |= answer
        return dict(sorted(answers.items()))

    # What is seen of it.

    def script(self, text: str) -> None:
        """Add faults, at times from now on."""
        self.ground.faults(text)
        self.ask("script", text)

    def traffic(self, first: float, last: float) -> dict[int, Any]:
        """Return bytes and datagrams by place and second."""
        return self._joined("traffic", int(first), int(last))

    def cpu(self) -> dict[int, tuple[int, int]]:
        """Return CPU nanoseconds and calls by place."""
        return self._joined("cpu")

    def digest(self) -> dict[int, int]:
        """Return a checksum of all datagrams sent, by place."""
        return self._joined("digest")

    def speakers(self) -> list[int]:
        """Return the places that speak for their groups now."""
        return sorted(place for found in self.ask("speakers") for place in found)

    def listed(self, what: str) -> list[Any]:
        """Return `gone` or `looks` of all shards, by time."""
        return sorted(one for answer in self.ask("attribute", what) for one in answer)

    def counts(self) -> Counter[str]:
        """Return the counters, summed over shards."""
        return sum(self.ask("attribute", "counts"), Counter())

    def holding(self, places: list[int], but: frozenset[int] = frozenset()) -> dict[int, tuple[int, int]]:
        """Return by place how many views have it present, and how many gone."""
        answers = self.ask("holding", places, but)
        return {place: (sum(one[place][0] for one in answers), sum(one[place][1] for one in answers)) for place in places}

    def frozen(self) -> int:
        """Return how many views are frozen."""
        return sum(answer[2] for answer in self.ask("views"))

    def one(self) -> bool:
        """Return whether the views agree.

        All running instances must be in groups whose members see exactly each other, as many groups as planned, with
        nobody suspected.
        Each view contains its owner, so a view held by as many instances as it has members is held by exactly those.
        """
        alike: Counter[tuple[int, int]] = Counter()
        unfit = running = 0
        for views, wrong, _, count in self.ask("views"):
            alike += views
            unfit, running = unfit + wrong, running + count
        groups = len(self.ground.firsts) * self.ground.groups if self.plan.levels else 1
        return (
            running > 0
            and not unfit
            and len(alike) <= groups
            and all(count == size for (_, size), count in alike.items())
            and sum(alike.values()) == running
        )

    def used(self) -> list[list[float]]:
        """Return by budget the times at which units were used, in order."""
        answers = self.ask("attribute", "used")
        return [sorted(at for one in answers for at in one[budget]) for budget in range(len(self.plan.budgets))]

    def memory(self) -> float:
        """Return the bytes that an instance adds to all processes."""
        return sum(self.ask("memory")) / self.plan.members


__all__ = ["Event", "ShardStoppedError", "World", "owners", "resident"]
