"""The operator file: KDL, parsed by ckdl and validated by msgspec; each error names the key and its line.

Imported only if such a file is given, so that an instance without one loads neither library.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import ckdl
import msgspec
from msgspec import Meta

from mulleinhatch.instance.retry_storms.bounds import StormBounds

Fraction = Annotated[float, Meta(ge=0.0, le=1.0)]
Multiple = Annotated[float, Meta(gt=0.0, le=1000.0)]
Seconds = Annotated[float, Meta(gt=0.0, le=3600.0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
DEFAULTS = StormBounds()
HostPort = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
# Members send to these addresses from the event loop, which a DNS lookup would block.
NumericAddress = Annotated[str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")]
# Part of a seat's name and of each message to another zone.
LocationName = Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[^/\s]+$")]
ERROR_PATH = re.compile(r"at `\$\.?([^`]*)`")
UNKNOWN_FIELD = re.compile(r"unknown field `([^`]*)`")


class OperatorFileError(ValueError):
    """Raised for an invalid operator file; the message names file, line and key."""


class StormsNode(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The `storms` node: retry storm detection."""

    enabled: bool = True
    rising_share: Fraction = DEFAULTS.rising_share
    storm_share: Fraction = DEFAULTS.storm_share
    storm_multiple: Multiple = DEFAULTS.storm_multiple
    calm_multiple: Multiple = DEFAULTS.calm_multiple
    confirm: Seconds = DEFAULTS.confirm
    settle: Seconds = DEFAULTS.settle
    outage_memory: Seconds = DEFAULTS.outage_memory
    loud_share: Fraction = DEFAULTS.loud_share
    callers_kept: Count = DEFAULTS.callers_kept
    repeats_kept: Count = DEFAULTS.repeats_kept
    horizon: Seconds = DEFAULTS.horizon
    heeding_part: Fraction = DEFAULTS.heeding_part


class TracesNode(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The `traces` node: trace files and their limits."""

    folder: Annotated[str, Meta(min_length=1)]
    file_mb: Annotated[float, Meta(gt=0.0, le=10_000.0)] = 64.0
    file_age: Seconds = 600.0
    total_mb: Annotated[float, Meta(gt=0.0, le=10_000_000.0)] = 1024.0


class BudgetNode(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """A node of `fleet.budgets`: a limit that the members of the fleet share."""

    total: Annotated[int, Meta(ge=1, le=10**9)]
    tenant: str = ""
    calls: bool = False
    retries: bool = False
    window: Annotated[float, Meta(ge=0.0, le=3600.0)] = 1.0
    lease: Seconds = 5.0
    drift: Annotated[float, Meta(ge=0.0, le=0.5)] = 0.03
    seats: str | list[str] = []


class FleetNode(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The `fleet` node: gossip between instances and shared budgets."""

    name: Annotated[str, Meta(min_length=1, max_length=40)]
    listen: NumericAddress
    advertise: NumericAddress | None = None
    status: HostPort | None = None
    seeds: NumericAddress | list[NumericAddress] = []
    seats: str | list[str] = []
    beat: Annotated[float, Meta(ge=0.02, le=10.0)] = 0.1
    suspect_for: Seconds = 1.95
    zone: LocationName | None = None
    region: LocationName | None = None
    groups: Annotated[int, Meta(ge=1, le=64)] | None = None
    beyond: NumericAddress | list[NumericAddress] = []
    budgets: Annotated[dict[str, BudgetNode], Meta(max_length=16)] = {}


class SpreadNode(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The `spread` node: load balancing over the members of the fleet."""

    hand_over: bool = True
    advice: bool = False
    at: NumericAddress | None = None
    offer_for: Annotated[float, Meta(ge=0.05, le=10.0)] = 0.2
    most_offers: Annotated[int, Meta(ge=1, le=1000)] = 8
    links: Annotated[int, Meta(ge=1, le=64)] = 4
    guesses: bool = True
    step: Annotated[float, Meta(gt=0.0, le=0.5)] = 0.05
    step_every: Annotated[float, Meta(ge=0.1, le=60.0)] = 0.5


class UpkeepNode(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The `upkeep` node: coordinated maintenance."""

    voters: str | list[str]
    most: Annotated[int, Meta(ge=0, le=12)] = 1
    zone_most: Annotated[int, Meta(ge=0, le=12)] = 1
    zones: dict[str, str | list[str]] = {}
    folder: str = ""
    control: NumericAddress | None = None
    freeze_after: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 120.0
    ask_when_ill: Annotated[float, Meta(ge=0.0, le=86_400.0)] = 0.0
    ill_for: Seconds = 600.0


class OperatorDocument(msgspec.Struct, forbid_unknown_fields=True, rename="kebab"):
    """The top-level nodes of the file."""

    storms: StormsNode = msgspec.field(default_factory=StormsNode)
    traces: TracesNode | None = None
    fleet: FleetNode | None = None
    spread: SpreadNode | None = None
    upkeep: UpkeepNode | None = None


class MaintenanceSettings(NamedTuple):
    """Settings of coordinated maintenance.

    Attributes:
        voters: Names of the voters.
        most: Maximum number of instances out of service.
        zone_most: The same for one zone.
        zones: Pairs of a member and its zone.
        folder: Directory of a voter's state; if empty, the state is not stored and the voter abstains after each start.
        control: Loopback address, as host:port, of the control port; empty for none.
        freeze_after: Seconds after which a returned instance that is still unhealthy freezes the permits; 0 for never.
        ask_when_ill: Seconds of bad health after which an instance requests maintenance by itself; 0 for never.
        ill_for: Duration of that maintenance in seconds.
    """

    voters: tuple[str, ...]
    most: int
    zone_most: int
    zones: tuple[tuple[str, str], ...]
    folder: str = ""
    control: str = ""
    freeze_after: float = 0.0
    ask_when_ill: float = 0.0
    ill_for: float = 600.0


class OperatorSettings(NamedTuple):
    """The validated settings of the file; None for a feature that is off.

    The types of the optional features are `Any` because their modules are imported only if the file uses them.

    Attributes:
        storms: Retry storm detection.
        traces: `TraceBounds` of the trace files.
        fleet: `FleetBounds` of gossip and shared budgets.
        spread: `LoadBalancingBounds` of load balancing.
        upkeep: `MaintenanceSettings` of coordinated maintenance.
    """

    storms: StormBounds | None
    traces: Any = None
    fleet: Any = None
    spread: Any = None
    upkeep: Any = None


def read(path: str) -> OperatorSettings:
    """Read and validate an operator file.

    Raises:
        OperatorFileError: The file is unreadable or invalid.
    """
    try:
        text = Path(path).read_text()
    except (OSError, ValueError) as error:
        raise OperatorFileError(f"{path}: can't be read: {error}") from None
    return parse(text, path)


def read_status_address(path: str) -> str:
    """Return the address that the command line queries: `status` of the fleet node.

    Raises:
        OperatorFileError: The file is unreadable or invalid, or does not name the address.
    """
    fleet = read(path).fleet
    if fleet is None or not fleet.status:
        raise OperatorFileError(f"{path}: fleet.status: missing; add it or name the instance by --at")
    return fleet.status


def parse(text: str, path: str = "operator.kdl") -> OperatorSettings:
    """Parse and validate the text of an operator file.

    Raises:
        OperatorFileError: The text is invalid.

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
        raise OperatorFileError(f"{path}:{_syntax_error_line(text)}: {error}") from None
    tree = _node_tree(document.nodes, text, path, ())
    _check_budgets(tree, text, path)
    try:
        checked = msgspec.convert(tree, OperatorDocument)
    except msgspec.ValidationError as error:
        raise _validation_error(error, (), text, path) from None
    storms = msgspec.structs.asdict(checked.storms)
    enabled = storms.pop("enabled")
    if checked.storms.storm_share < checked.storms.rising_share:
        raise OperatorFileError(
            f"{path}:{_line_number(text, ('storms', 'storm-share'))}: storms.storm-share: "
            f"{checked.storms.storm_share:g} is below rising-share"
        )
    return OperatorSettings(
        StormBounds(**storms) if enabled else None,
        _trace_bounds(checked.traces),
        checked.fleet and _fleet_bounds(checked.fleet, text, path),
        checked.spread and _load_balancing_bounds(checked, text, path),
        checked.upkeep and _maintenance_settings(checked, text, path),
    )


def _validation_error(error: msgspec.ValidationError, parent_path: tuple[str, ...], text: str, path: str) -> OperatorFileError:
    found, unknown = ERROR_PATH.search(str(error)), UNKNOWN_FIELD.search(str(error))
    key_path = (*parent_path, *(tuple(found[1].split(".")) if found and found[1] else ()))
    if unknown:
        key_path, reason = (*key_path, unknown[1]), "no such key"
    else:
        reason = str(error).partition(" - at")[0]
    return OperatorFileError(f"{path}:{_line_number(text, key_path)}: {'.'.join(key_path)}: {reason}")


def _check_budgets(tree: dict[str, Any], text: str, path: str) -> None:
    """Validate each budget on its own: msgspec's error for a dict does not tell which entry is invalid."""
    fleet = tree.get("fleet")
    budgets = fleet.get("budgets") if isinstance(fleet, dict) else None
    for name, budget in budgets.items() if isinstance(budgets, dict) else ():
        try:
            msgspec.convert(budget, BudgetNode)
        except msgspec.ValidationError as error:
            raise _validation_error(error, ("fleet", "budgets", name), text, path) from None


def _trace_bounds(node: TracesNode | None) -> Any:
    if node is None:
        return None
    try:
        from mulleinhatch.instance.traces.writer import TraceBounds
    except ImportError as error:
        raise OperatorFileError(f"traces: {error.name} is not installed: pip install 'mulleinhatch[traces]'") from None
    return TraceBounds(**msgspec.structs.asdict(node))


def _load_balancing_bounds(checked: OperatorDocument, text: str, path: str) -> Any:
    from mulleinhatch.instance.load_balancing.bounds import LoadBalancingBounds

    if checked.fleet is None:
        raise OperatorFileError(
            f"{path}:{_line_number(text, ('spread',))}: spread: requires a fleet node: load is balanced over its members"
        )
    fields = msgspec.structs.asdict(checked.spread)
    return LoadBalancingBounds(**{**fields, "at": fields["at"] or ""})


def _maintenance_settings(checked: OperatorDocument, text: str, path: str) -> MaintenanceSettings:
    node, voters = checked.upkeep, checked.upkeep.voters
    voters = (voters,) if isinstance(voters, str) else tuple(voters)
    zones = [(name, zone) for zone, names in node.zones.items() for name in ((names,) if isinstance(names, str) else names)]
    problem = (
        "requires a fleet node: its members agree on who leaves service"
        if checked.fleet is None
        else "voters: 1 to 9 are required"
        if not 1 <= len(voters) <= 9
        else "voters: given twice"
        if len(set(voters)) < len(voters)
        else "there is no order yet among members of several groups: not supported with fleet.zone"
        if checked.fleet.zone
        else "zones: a member is in two zones"
        if len({name for name, _ in zones}) < len(zones)
        else "control: must be a loopback address"
        if node.control and not node.control.startswith("127.")
        else ""
    )
    if problem:
        raise OperatorFileError(
            f"{path}:{_line_number(text, ('upkeep',))}: upkeep.{problem}"
            if ":" in problem
            else f"{path}:{_line_number(text, ('upkeep',))}: upkeep: {problem}"
        )
    return MaintenanceSettings(
        voters,
        node.most,
        node.zone_most,
        tuple(zones),
        node.folder,
        node.control or "",
        node.freeze_after,
        node.ask_when_ill,
        node.ill_for,
    )


def _fleet_bounds(node: FleetNode, text: str, path: str) -> Any:
    from mulleinhatch.instance.gossip.bounds import BudgetBounds, FleetBounds

    def as_tuple(value: str | list[str]) -> tuple[str, ...]:
        return (value,) if isinstance(value, str) else tuple(value)

    _check_location(node, text, path)
    budgets = []
    for name, budget in node.budgets.items():
        seats, key_path = as_tuple(budget.seats or node.seats), ("fleet", "budgets", name)
        problem = (
            "seats: none are given to share the budget"
            if not seats
            else "seats: given twice"
            if len(set(seats)) < len(seats)
            else f"total: {budget.total} is less than one for each of {len(seats)} seats"
            if budget.total < len(seats)
            else "tenant: exactly one of tenant, calls and retries is required"
            if bool(budget.tenant) + budget.calls + budget.retries != 1
            else "window: required for retries, which are counted over a window"
            if budget.retries and not budget.window
            else f"seats: {plain!r} has no location: with a zone a seat is given as region/zone/name"
            if node.zone and (plain := next((seat for seat in seats if len(seat.split("/")) != 3), ""))
            else ""
        )
        if problem:
            raise OperatorFileError(f"{path}:{_line_number(text, key_path)}: {'.'.join(key_path)}.{problem}")
        window = 0.0 if budget.calls else budget.window
        budgets.append(
            BudgetBounds(name, budget.total, seats, window, budget.lease, budget.drift, budget.tenant, budget.retries)
        )
    host, _, port = node.listen.rpartition(":")
    return FleetBounds(
        node.name,
        (host, int(port)),
        node.advertise or "",
        as_tuple(node.seeds),
        node.beat,
        status=node.status or "",
        suspicion_timeout_s=node.suspect_for,
        budgets=tuple(budgets),
        zone=node.zone or "",
        region=node.region or "",
        groups=node.groups or 1,
        beyond=as_tuple(node.beyond),
    )


def _check_location(node: FleetNode, text: str, path: str) -> None:
    """Reject an incomplete location.

    Members of one name in different locations own different seats, so a seat's name contains the location.
    """
    problem = (
        ("region", "zone: missing beside region")
        if node.region and not node.zone
        else ("zone", "region: missing beside zone")
        if node.zone and not node.region
        else ("groups", "groups: requires a zone and a region")
        if node.groups is not None and not node.zone
        else ("beyond", "beyond: requires a zone and a region")
        if node.beyond and not node.zone
        else None
    )
    if problem:
        raise OperatorFileError(f"{path}:{_line_number(text, ('fleet', problem[0]))}: fleet.{problem[1]}")


def _node_tree(nodes: list[Any], text: str, path: str, key_path: tuple[str, ...]) -> dict[str, Any]:
    """Return the nodes as nested dicts; a node has either one value, or properties and children, and no name occurs twice."""
    tree: dict[str, Any] = {}
    for node in nodes:
        here = (*key_path, node.name)
        if node.name in tree:
            raise OperatorFileError(f"{path}:{_line_number(text, here, last=True)}: {'.'.join(here)}: given twice")
        if node.children or node.properties or not node.args:
            if node.args:
                raise OperatorFileError(
                    f"{path}:{_line_number(text, here)}: {'.'.join(here)}: either a value or properties and children"
                )
            inner = _node_tree(node.children, text, path, here)
            if both := sorted(set(inner) & set(node.properties)):
                raise OperatorFileError(f"{path}:{_line_number(text, here)}: {'.'.join((*here, both[0]))}: given twice")
            tree[node.name] = {**node.properties, **inner}
        else:
            tree[node.name] = node.args[0] if len(node.args) == 1 else node.args
    return tree


def _line_number(text: str, key_path: tuple[str, ...], last: bool = False) -> int:
    """Return the line of a key. ckdl does not report lines, so the names of its path are searched in the text one by one."""
    at = 0
    for name in key_path:
        found = list(re.finditer(rf"(?<![\w-]){re.escape(name)}(?![\w-])", text[at:]))
        if found:
            at += found[-1 if last and name == key_path[-1] else 0].start()
    return text.count("\n", 0, at) + 1


def _syntax_error_line(text: str) -> int:
    """Return the line of a syntax error: the first one up to which the text is invalid even with all open braces closed."""
    lines = text.splitlines()
    for count in range(1, len(lines) + 1):
        part = "\n".join(lines[:count])
        try:
            ckdl.parse(part + "\n" + "}" * max(0, part.count("{") - part.count("}")))
        except ckdl.ParseError:
            return count
    return max(1, len(lines))
