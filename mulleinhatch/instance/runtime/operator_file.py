"""The operator's own file: KDL, read by ckdl and checked by msgspec; each error names the key and its line.

Imported only where such a file is named, so that an instance without one carries neither library.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import ckdl
import msgspec
from msgspec import Meta

from mulleinhatch.instance.retry_storms.bounds import StormBounds

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Multiple = Annotated[float, Meta(gt=0.0, le=1000.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Room = Annotated[int, Meta(ge=1, le=1_000_000)]
USUAL = StormBounds()
HostPort = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
# Members send to these from the loop: a name would be looked up there.
Numbers = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
# Part of a seat's name, and of each word to another zone.
Where = Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[^/\s]+$")]
PATH = re.compile(r"at `\$\.?([^`]*)`")
UNKNOWN = re.compile(r"unknown field `([^`]*)`")


class OperatorFileError(ValueError):
    """The text names file, line and key."""


class Storms(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    enabled: bool = True
    rising_share: Share = USUAL.rising_share
    storm_share: Share = USUAL.storm_share
    storm_multiple: Multiple = USUAL.storm_multiple
    calm_multiple: Multiple = USUAL.calm_multiple
    confirm: Seconds = USUAL.confirm
    settle: Seconds = USUAL.settle
    outage_memory: Seconds = USUAL.outage_memory
    loud_share: Share = USUAL.loud_share
    callers_kept: Room = USUAL.callers_kept
    repeats_kept: Room = USUAL.repeats_kept
    horizon: Seconds = USUAL.horizon
    heeding_part: Share = USUAL.heeding_part


class Traces(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    folder: Annotated[str, Meta(min_length=1)]
    file_mb: Annotated[float, Meta(gt=0.0, le=10_000.0)] = 64.0
    file_age: Seconds = 600.0
    total_mb: Annotated[float, Meta(gt=0.0, le=10_000_000.0)] = 1024.0


class Budget(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    total: Annotated[int, Meta(ge=1, le=10**9)]
    tenant: str = ""
    calls: bool = False
    retries: bool = False
    window: Annotated[float, Meta(ge=0.0, le=3600.0)] = 1.0
    lease: Seconds = 5.0
    drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.03
    seats: str | list[str] = []


class FleetFile(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    name: Annotated[str, Meta(min_length=1, max_length=40)]
    listen: Numbers
    advertise: Numbers | None = None
    status: HostPort | None = None
    seeds: Numbers | list[Numbers] = []
    seats: str | list[str] = []
    beat: Annotated[float, Meta(ge=0.02, le=10.0)] = 0.1
    suspect_for: Seconds = 1.95
    zone: Where | None = None
    region: Where | None = None
    groups: Annotated[int, Meta(ge=1, le=64)] | None = None
    beyond: Numbers | list[Numbers] = []
    budgets: Annotated[dict[str, Budget], Meta(max_length=16)] = {}


class SpreadFile(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    hand_over: bool = True
    advice: bool = False
    at: Numbers | None = None
    offer_for: Annotated[float, Meta(ge=0.05, le=10.0)] = 0.2
    most_offers: Annotated[int, Meta(ge=1, le=1000)] = 8
    links: Annotated[int, Meta(ge=1, le=64)] = 4
    guesses: bool = True
    step: Annotated[float, Meta(gt=0.0, le=0.5)] = 0.05
    step_every: Annotated[float, Meta(ge=0.1, le=60.0)] = 0.5


class UpkeepFile(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    voters: str | list[str]
    most: Annotated[int, Meta(ge=0, le=12)] = 1
    zone_most: Annotated[int, Meta(ge=0, le=12)] = 1
    zones: dict[str, str | list[str]] = {}
    folder: str = ""
    control: Numbers | None = None
    freeze_after: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 120.0
    ask_when_ill: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 0.0
    ill_for: Seconds = 600.0


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    storms: Storms = msgspec.field(default_factory=Storms)
    traces: Traces | None = None
    fleet: FleetFile | None = None
    spread: SpreadFile | None = None
    upkeep: UpkeepFile | None = None


class UpkeepBounds(NamedTuple):
    voters: tuple[str, ...]
    most: int
    zone_most: int
    zones: tuple[tuple[str, str], ...]  # member and its zone
    folder: str = ""  # where a voter keeps what it promised; empty: nowhere, and it abstains after a start
    control: str = ""  # loopback host:port where people ask
    freeze_after: float = 0.0  # seconds in which one that came back is not fit, and the rest is stopped; 0: not by itself
    ask_when_ill: float = 0.0  # seconds of bad health after which an instance asks by itself; 0: never
    ill_for: float = 600.0  # seconds that it then asks for


class Operator(NamedTuple):
    storms: StormBounds | None
    traces: Any = None  # the bounds of a trace's files, a `TraceBounds`
    fleet: Any = None  # of what passes between instances, a `FleetBounds`
    spread: Any = None  # of load over them, a `LoadBalancingBounds`
    upkeep: Any = None  # of machines out for work, an `UpkeepBounds`


def read(path: str) -> Operator:
    try:
        text = Path(path).read_text()
    except (OSError, ValueError) as error:
        raise OperatorFileError(f"{path}: can't be read: {error}") from None
    return parse(text, path)


def read_status_address(path: str) -> str:
    """Where the command line asks: `status` of the fleet."""
    fleet = read(path).fleet
    if fleet is None or not fleet.status:
        raise OperatorFileError(f"{path}: fleet.status: missing, or name the instance by --at")
    return fleet.status


def parse(text: str, path: str = "operator.kdl") -> Operator:
    """
    >>> parse("storms {\\n    settle 5\\n}").storms.settle
    5.0
    >>> parse("storms enabled=#false").storms
    >>> parse("storms {\\n    settle 5\\n    confirm soon\\n}")
    Traceback (most recent call last):
    mulleinhatch.instance.runtime.operator_file.OperatorFileError: operator.kdl:3: storms.confirm: Expected `float`, got `str`
    >>> parse("storms {\\n    setle 5\\n}")
    Traceback (most recent call last):
    mulleinhatch.instance.runtime.operator_file.OperatorFileError: operator.kdl:2: storms.setle: no such key
    """
    try:
        document = ckdl.parse(text)
    except ckdl.ParseError as error:
        raise OperatorFileError(f"{path}:{_line_of_break(text)}: {error}") from None
    tree = _tree(document.nodes, text, path, ())
    checked_budgets(tree, text, path)
    try:
        checked = msgspec.convert(tree, OperatorFile)
    except msgspec.ValidationError as error:
        raise _complaint(error, (), text, path) from None
    storms = msgspec.structs.asdict(checked.storms)
    enabled = storms.pop("enabled")
    if checked.storms.storm_share < checked.storms.rising_share:
        raise OperatorFileError(
            f"{path}:{_line(text, ('storms', 'storm-share'))}: storms.storm-share: "
            f"{checked.storms.storm_share:g} is below rising-share"
        )
    return Operator(
        StormBounds(**storms) if enabled else None,
        _traces(checked.traces),
        checked.fleet and _fleet(checked.fleet, text, path),
        checked.spread and _spread(checked, text, path),
        checked.upkeep and _upkeep(checked, text, path),
    )


def _complaint(error: msgspec.ValidationError, above: tuple[str, ...], text: str, path: str) -> OperatorFileError:
    found, unknown = PATH.search(str(error)), UNKNOWN.search(str(error))
    way = (*above, *(tuple(found[1].split(".")) if found and found[1] else ()))
    if unknown:
        way, what = (*way, unknown[1]), "no such key"
    else:
        what = str(error).partition(" - at")[0]
    return OperatorFileError(f"{path}:{_line(text, way)}: {'.'.join(way)}: {what}")


def checked_budgets(tree: dict[str, Any], text: str, path: str) -> None:
    """One by one: of several under names of the operator's own, an error would not say which."""
    fleet = tree.get("fleet")
    budgets = fleet.get("budgets") if isinstance(fleet, dict) else None
    for name, budget in budgets.items() if isinstance(budgets, dict) else ():
        try:
            msgspec.convert(budget, Budget)
        except msgspec.ValidationError as error:
            raise _complaint(error, ("fleet", "budgets", name), text, path) from None


def _traces(told: Traces | None) -> Any:
    if told is None:
        return None
    try:
        from mulleinhatch.instance.traces.writer import TraceBounds
    except ImportError as error:
        raise OperatorFileError(f"traces: {error.name} is not installed: pip install 'mulleinhatch[traces]'") from None
    return TraceBounds(**msgspec.structs.asdict(told))


def _spread(checked: OperatorFile, text: str, path: str) -> Any:
    from mulleinhatch.instance.load_balancing.bounds import LoadBalancingBounds

    if checked.fleet is None:
        raise OperatorFileError(
            f"{path}:{_line(text, ('spread',))}: spread: wants a fleet node: load is spread over its members"
        )
    told = msgspec.structs.asdict(checked.spread)
    return LoadBalancingBounds(**{**told, "at": told["at"] or ""})


def _upkeep(checked: OperatorFile, text: str, path: str) -> UpkeepBounds:
    told, voters = checked.upkeep, checked.upkeep.voters
    voters = (voters,) if isinstance(voters, str) else tuple(voters)
    zones = [(name, zone) for zone, names in told.zones.items() for name in ((names,) if isinstance(names, str) else names)]
    wrong = (
        "wants a fleet node: who goes is settled among its members"
        if checked.fleet is None
        else "voters: 1 to 9 are wanted"
        if not 1 <= len(voters) <= 9
        else "voters: told twice"
        if len(set(voters)) < len(voters)
        else "there is no order yet among members of several groups: not beside fleet.zone"
        if checked.fleet.zone
        else "zones: a member in two"
        if len({name for name, _ in zones}) < len(zones)
        else "control: only on loopback"
        if told.control and not told.control.startswith("127.")
        else ""
    )
    if wrong:
        raise OperatorFileError(
            f"{path}:{_line(text, ('upkeep',))}: upkeep.{wrong}"
            if ":" in wrong
            else f"{path}:{_line(text, ('upkeep',))}: upkeep: {wrong}"
        )
    return UpkeepBounds(
        voters,
        told.most,
        told.zone_most,
        tuple(zones),
        told.folder,
        told.control or "",
        told.freeze_after,
        told.ask_when_ill,
        told.ill_for,
    )


def _fleet(told: FleetFile, text: str, path: str) -> Any:
    from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds

    def several(value: str | list[str]) -> tuple[str, ...]:
        return (value,) if isinstance(value, str) else tuple(value)

    _placed(told, text, path)
    budgets = []
    for name, budget in told.budgets.items():
        seats, way = several(budget.seats or told.seats), ("fleet", "budgets", name)
        wrong = (
            "seats: nobody has an even part"
            if not seats
            else "seats: told twice"
            if len(set(seats)) < len(seats)
            else f"total: {budget.total} is less than one for each of {len(seats)} seats"
            if budget.total < len(seats)
            else "tenant: either a tenant's runs, calls or retries"
            if bool(budget.tenant) + budget.calls + budget.retries != 1
            else "window: retries are counted over a window"
            if budget.retries and not budget.window
            else f"seats: {plain!r} names no place: with a zone a seat is told as region/zone/name"
            if told.zone and (plain := next((seat for seat in seats if len(seat.split("/")) != 3), ""))
            else ""
        )
        if wrong:
            raise OperatorFileError(f"{path}:{_line(text, way)}: {'.'.join(way)}.{wrong}")
        window = 0.0 if budget.calls else budget.window
        budgets.append(
            BudgetBounds(name, budget.total, seats, window, budget.lease, budget.drift, budget.tenant, budget.retries)
        )
    host, _, port = told.listen.rpartition(":")
    return FleetBounds(
        told.name,
        (host, int(port)),
        told.advertise or "",
        several(told.seeds),
        told.beat,
        status=told.status or "",
        suspicion_timeout_s=told.suspect_for,
        budgets=tuple(budgets),
        zone=told.zone or "",
        region=told.region or "",
        groups=told.groups or 1,
        beyond=several(told.beyond),
    )


def _placed(told: FleetFile, text: str, path: str) -> None:
    """Errors: a place told by half. Two of one name in different places own different seats, so a seat names its place."""
    wrong = (
        ("region", "zone: missing beside region")
        if told.region and not told.zone
        else ("zone", "region: missing beside zone")
        if told.zone and not told.region
        else ("groups", "groups: wants a zone and a region")
        if told.groups is not None and not told.zone
        else ("beyond", "beyond: wants a zone and a region")
        if told.beyond and not told.zone
        else None
    )
    if wrong:
        raise OperatorFileError(f"{path}:{_line(text, ('fleet', wrong[0]))}: fleet.{wrong[1]}")


def _tree(nodes: list[Any], text: str, path: str, way: tuple[str, ...]) -> dict[str, Any]:
    """Nodes as nested dicts: one value, or properties and children; no name twice."""
    tree: dict[str, Any] = {}
    for node in nodes:
        here = (*way, node.name)
        if node.name in tree:
            raise OperatorFileError(f"{path}:{_line(text, here, last=True)}: {'.'.join(here)}: told twice")
        if node.children or node.properties or not node.args:
            if node.args:
                raise OperatorFileError(f"{path}:{_line(text, here)}: {'.'.join(here)}: a value beside named ones")
            inner = _tree(node.children, text, path, here)
            if both := sorted(set(inner) & set(node.properties)):
                raise OperatorFileError(f"{path}:{_line(text, here)}: {'.'.join((*here, both[0]))}: told twice")
            tree[node.name] = {**node.properties, **inner}
        else:
            tree[node.name] = node.args[0] if len(node.args) == 1 else node.args
    return tree


def _line(text: str, way: tuple[str, ...], last: bool = False) -> int:
    """The line where the key stands: ckdl keeps none, so its names are looked for, one inside the other."""
    at = 0
    for name in way:
        found = list(re.finditer(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text[at:]))
        if found:
            at += found[-1 if last and name == way[-1] else 0].start()
    return text.count("\n", 0, at) + 1


def _line_of_break(text: str) -> int:
    """The first line up to which the text can't be made whole by closing what is open."""
    lines = text.splitlines()
    for count in range(1, len(lines) + 1):
        part = "\n".join(lines[:count])
        try:
            ckdl.parse(part + "\n" + "}" * max(0, part.count("{") - part.count("}")))
        except ckdl.ParseError:
            return count
    return max(1, len(lines))
