"""A world of simulated instances in several processes, in windows of virtual time; the history is that of a single process.

The synchronisation is conservative: no datagram takes less than `LOOKAHEAD_S`, so each process may run that far beyond the
earliest event of all processes without receiving anything from the others. Datagrams between shards are handed over at the
end of the window and ordered by (time, sender, sequence).
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

from mulleinhatch.simulation.scale_instances import LOOKAHEAD_S, InvalidPlanError, Plan, Topology
from mulleinhatch.simulation.scale_world import Event, Shard

MAX_SHARDS = 8
END_MESSAGE = b"q"
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return this process's resident memory in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_SIZE


def assign_shards(topology: Topology, shards: int) -> list[int]:
    """Return the shard of each place; shards are ranges, so that most traffic of a zone stays in one process."""
    return [place * shards // topology.plan.members for place in range(topology.plan.members)]


class ShardServer:
    """Serves one shard over byte messages: windows to play, and queries."""

    def __init__(self, plan: Plan, owner: list[int], index: int) -> None:
        self.base = resident_bytes()
        self.shard = Shard(plan, owner, index)

    def ready(self) -> bytes:
        return marshal.dumps((self.shard.next(), math.inf, {}))

    def answer(self, data: bytes) -> bytes:
        shard = self.shard
        if data[:1] == b"w":
            until, batches = marshal.loads(data[1:])
            for batch in batches:
                shard.add_events(marshal.loads(batch))
            shard.run(until)
            outgoing, shard.outgoing = shard.outgoing, {}
            first = min((event[0] for events in outgoing.values() for event in events), default=math.inf)
            return marshal.dumps((shard.next(), first, {to: marshal.dumps(events) for to, events in outgoing.items()}))
        name, args = pickle.loads(data[1:])
        answers = resident_bytes() - self.base if name == "memory" else getattr(shard, name)(*args)
        return pickle.dumps((answers, shard.next()))


class InProcessPipe:
    """A server in this process with the interface of a pipe."""

    def __init__(self, server: ShardServer) -> None:
        self.server, self.answer = server, server.ready()

    def send_bytes(self, data: bytes) -> None:
        self.answer = self.server.answer(data)

    def recv_bytes(self) -> bytes:
        return self.answer

    def close(self) -> None:
        self.answer = b""


def run_shard(plan: Plan, owner: list[int], index: int, pipe: Connection, ends: list[Connection]) -> None:
    """Run a shard's process: play windows and answer queries until the pipe closes; send a traceback on any error."""
    for end in ends:
        end.close()  # inherited by fork: while this process keeps one open, the peer does not see it close
    # The protocol code creates no significant reference cycles, and a collection over the objects of all instances would
    # be counted as CPU time of a single instance.
    gc.disable()
    try:
        server = ShardServer(plan, owner, index)
        pipe.send_bytes(server.ready())
        while (data := pipe.recv_bytes()) != END_MESSAGE:
            pipe.send_bytes(server.answer(data))
    except EOFError:
        pass
    except Exception:
        pipe.send_bytes(b"!" + traceback.format_exc().encode())


class ShardStoppedError(RuntimeError):
    """A process of the world failed; the text is its traceback."""


class World:
    """A sharded world; a context manager that ends its processes.

    >>> with World(Plan(members=9, seed=3), processes=False) as world:
    ...     world.play(3.0).views_agree()
    True
    """

    def __init__(self, plan: Plan, shards: int = 1, processes: bool = True) -> None:
        """`processes`: run each shard in its own process; otherwise all in this one."""
        if not 1 <= shards <= MAX_SHARDS:
            raise InvalidPlanError(f"{shards} processes: 1 to {MAX_SHARDS} are allowed")
        self.plan, self.topology, self.now = plan, Topology(plan), 0.0
        shards = min(shards, plan.members)
        self.owner = assign_shards(self.topology, shards)
        self.topology.faults(plan.script)  # rejects a bad script before processes start
        self.pipes: list[Connection | InProcessPipe] = []
        self.processes: list[multiprocessing.Process] = []
        self.batches: list[list[bytes]] = [[] for _ in range(shards)]
        self.first_arrival = math.inf  # arrival of the earliest datagram in transit between shards
        context = multiprocessing.get_context("fork")
        for index in range(shards):
            if not processes:
                self.pipes.append(InProcessPipe(ShardServer(plan, self.owner, index)))
                continue
            here, there = context.Pipe()
            process = context.Process(target=run_shard, args=(plan, self.owner, index, there, [*self.pipes, here]), daemon=True)
            process.start()
            there.close()
            self.pipes.append(here)
            self.processes.append(process)
        self.next_event_times = [self._receive_answer(index)[0] for index in range(shards)]

    @property
    def local(self) -> Shard:
        """The first shard, if it is played in this process."""
        return self.pipes[0].server.shard

    def __enter__(self) -> World:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End the processes."""
        for pipe in self.pipes if self.processes else ():
            # Closing alone is not enough: another world's processes may have inherited this end.
            with contextlib.suppress(OSError):
                pipe.send_bytes(END_MESSAGE)
            pipe.close()
        for process in self.processes:
            process.join(5.0)
            if process.is_alive():
                process.kill()
                process.join()
        self.pipes, self.processes = [], []

    def _receive_answer(self, index: int) -> Any:
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
        ahead = LOOKAHEAD_S if len(self.pipes) > 1 else math.inf
        while self.now < until:
            start = (
                min(*self.next_event_times, self.first_arrival) if len(self.next_event_times) > 1 else self.next_event_times[0]
            )
            self.now = min(start + ahead, until)
            self._play_window(self.now)
        return self

    def _play_window(self, window_end: float) -> None:
        for index, pipe in enumerate(self.pipes):
            batches, self.batches[index] = self.batches[index], []
            pipe.send_bytes(b"w" + marshal.dumps((window_end, batches)))
        self.first_arrival = math.inf
        for index in range(len(self.pipes)):
            self.next_event_times[index], first, answers = self._receive_answer(index)
            self.first_arrival = min(self.first_arrival, first)
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
            answer, self.next_event_times[index] = pickle.loads(data)
            answers.append(answer)
        return answers

    def _merge_by_place(self, name: str, *args: Any) -> dict[int, Any]:
        """Merge the shards' answers by place, in the order of places."""
        answers: dict[int, Any] = {}
        for answer in self.ask(name, *args):
            answers |= answer
        return dict(sorted(answers.items()))

    # Queries.

    def script(self, text: str) -> None:
        """Add faults, at times from now on."""
        self.topology.faults(text)
        self.ask("script", text)

    def traffic(self, first: float, last: float) -> dict[int, Any]:
        """Return bytes and datagrams by place and second."""
        return self._merge_by_place("traffic", int(first), int(last))

    def cpu(self) -> dict[int, tuple[int, int]]:
        """Return CPU nanoseconds and calls by place."""
        return self._merge_by_place("cpu")

    def digest(self) -> dict[int, int]:
        """Return a checksum of all datagrams sent, by place."""
        return self._merge_by_place("digest")

    def speakers(self) -> list[int]:
        """Return the places that are speakers of their groups now."""
        return sorted(place for found in self.ask("speakers") for place in found)

    def listed(self, what: str) -> list[Any]:
        """Return `gone` or `samples` of all shards, by time."""
        return sorted(one for answer in self.ask("attribute", what) for one in answer)

    def counts(self) -> Counter[str]:
        """Return the counters, summed over shards."""
        return sum(self.ask("attribute", "counts"), Counter())

    def count_views_of(self, places: list[int], excluded: frozenset[int] = frozenset()) -> dict[int, tuple[int, int]]:
        """Return by place how many views have it present and how many gone; views of `excluded` places do not count."""
        answers = self.ask("count_views_of", places, excluded)
        return {place: (sum(one[place][0] for one in answers), sum(one[place][1] for one in answers)) for place in places}

    def frozen(self) -> int:
        """Return how many views are frozen."""
        return sum(answer[2] for answer in self.ask("views"))

    def views_agree(self) -> bool:
        """Return whether the views agree.

        All running instances must be in groups whose members see exactly each other, as many groups as planned, with
        no member suspected.
        Each view contains its owner, so a view held by as many instances as it has members is held by exactly those.
        """
        view_counts: Counter[tuple[int, int]] = Counter()
        inaccurate = running = 0
        for views, wrong, _, count in self.ask("views"):
            view_counts += views
            inaccurate, running = inaccurate + wrong, running + count
        groups = len(self.topology.firsts) * self.topology.groups if self.plan.levels else 1
        return (
            running > 0
            and not inaccurate
            and len(view_counts) <= groups
            and all(count == size for (_, size), count in view_counts.items())
            and sum(view_counts.values()) == running
        )

    def used(self) -> list[list[float]]:
        """Return the ordered times at which units of each budget were used."""
        answers = self.ask("attribute", "used")
        return [sorted(at for one in answers for at in one[budget]) for budget in range(len(self.plan.budgets))]

    def memory(self) -> float:
        """Return the mean bytes of memory that an instance adds to the processes."""
        return sum(self.ask("memory")) / self.plan.members


__all__ = ["Event", "ShardStoppedError", "World", "assign_shards", "resident_bytes"]
