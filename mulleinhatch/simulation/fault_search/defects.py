"""Defects that can be injected one at a time, to check that the search finds them; each removes one safeguard."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from typing import Any

from mulleinhatch.admission import AdmissionController
from mulleinhatch.admission.expiry import Expiry
from mulleinhatch.admission.interface import Ending
from mulleinhatch.instance.gossip.members import Membership
from mulleinhatch.instance.load_balancing.offers import OfferIssuer
from mulleinhatch.instance.maintenance.paxos_register import ProposalRound, Voter
from mulleinhatch.instance.maintenance.table import PermitTable
from mulleinhatch.instance.request_state_machine.reducer import Reducer


def _count_half_of_outstanding(issuer: OfferIssuer, now: float) -> int:
    return len([1 for offer in issuer.issued.values() if offer.until > now]) // 2


def _treat_interrupted_as_full(reducer: Reducer, now: float, ref: str, ending: Ending, result: bytes) -> None:
    _ORIGINALS["hand ended"](reducer, now, ref, Ending.FULL if ending is Ending.INTERRUPTED else ending, result)


_ORIGINALS = {"hand ended": Reducer._handover_ended}
DEFECTS: dict[str, list[tuple[Any, str, Any]]] = {
    "an offer counts half": [(OfferIssuer, "outstanding", _count_half_of_outstanding)],
    "a broken link proves that nothing ran": [(Reducer, "_handover_ended", _treat_interrupted_as_full)],
    "a voter promises nothing": [(Voter, "_may_promise", lambda voter, proposal: True)],
    "one voter is a majority": [(ProposalRound, "_is_majority", lambda done, count: count >= 1)],
    "the bound is not looked at": [
        (
            PermitTable,
            "grant",
            lambda table, name, zone, *more: (
                table if table.permit(name) else table._next_version(out=(*table.out, _make_permit(table, name, zone)))
            ),
        )
    ],
    "permits are not given back": [(PermitTable, "release", lambda table, name, fencing_token: table)],
    "suspicion is never refuted": [(Membership, "_apply_update_about_self", lambda members, now, member_update: None)],
    "the gone are never asked again": [(Membership, "heard_lately", lambda members, now, name: False)],
    "an op at a peer is never given up": [(Expiry, "drop_next", lambda expiry: None)],
    "one that leaves forgets what it holds": [(AdmissionController, "begin_drain", lambda controller, now, grace: None)],
}


def _make_permit(table: PermitTable, name: str, zone: str) -> Any:
    from mulleinhatch.instance.maintenance.table import Permit

    return Permit(name, zone, table.version + 1, "")


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Inject a defect for the duration of the `with` block; an empty name injects none."""
    originals = [(owner, attribute, getattr(owner, attribute)) for owner, attribute, _ in DEFECTS.get(name, ())]
    for owner, attribute, replacement in DEFECTS.get(name, ()):
        setattr(owner, attribute, replacement)
    try:
        yield
    finally:
        for owner, attribute, original in originals:
            setattr(owner, attribute, original)
