"""Compatibility with messages of version 3fe6cd9: the current classes parse the same values and encode the same bytes.

A renamed class is entered in `CURRENT_CLASSES` or `CURRENT_INSTANCE_CLASSES`.
"""

from __future__ import annotations

import dataclasses
import json
import unittest
from pathlib import Path
from typing import Any

import betterproto
import msgspec
from data import messages_3fe6cd9

from mulleinhatch.instance.gossip import messages as gossip_messages
from mulleinhatch.instance.maintenance import messages as maintenance_messages
from mulleinhatch.messages import cluster

RECORDED = json.loads((Path(__file__).parent.parent / "data" / "messages.json").read_text())
# The current class for each class name of version 3fe6cd9.
CURRENT_CLASSES: dict[str, type[betterproto.Message]] = {
    "Member": cluster.Member,
    "View": cluster.View,
    "Ballot": cluster.ProposalNumber,
    "VoterState": cluster.VoterState,
    "PrepareRequest": cluster.PrepareRequest,
    "AcceptRequest": cluster.AcceptRequest,
    "VoteAnswer": cluster.VoteResponse,
    "Entry": cluster.Entry,
    "Snapshot": cluster.Snapshot,
    "AppendRequest": cluster.AppendRequest,
    "AppendAnswer": cluster.AppendResponse,
    "SnapshotRequest": cluster.SnapshotRequest,
    "SnapshotAnswer": cluster.SnapshotResponse,
    "ConfirmRequest": cluster.ConfirmRequest,
    "ConfirmAnswer": cluster.ConfirmResponse,
    "Heartbeat": cluster.Heartbeat,
    "HeartbeatAnswer": cluster.HeartbeatResponse,
    "LeaveRequest": cluster.LeaveRequest,
    "LeaveAnswer": cluster.LeaveResponse,
    "HeldModel": cluster.LoadedModel,
    "PendingLoad": cluster.PendingLoad,
    "Stub": cluster.Backend,
    "ModelDemand": cluster.ModelDemand,
    "PollRequest": cluster.PollRequest,
    "PollAnswer": cluster.PollResponse,
    "DemandReport": cluster.DemandReport,
    "DemandAnswer": cluster.DemandResponse,
}
# Numbers of the fields that were added since then; they are empty in messages of the old version.
ADDED_FIELDS: dict[type[betterproto.Message], set[int]] = {
    cluster.Member: {5, 6},
    cluster.SnapshotRequest: {2},
    cluster.Heartbeat: {15, 16},
    cluster.HeartbeatResponse: {7},
    cluster.PollRequest: {9, 10},
}
# Classes that were added since then; the old version has no messages of these classes.
ADDED_CLASSES = {
    cluster.QuotaNeed,
    cluster.QuotaRequest,
    cluster.QuotaGrant,
    cluster.QuotaResponse,
    cluster.QuotaLevel,
    cluster.QuotaHandoverRequest,
    cluster.QuotaHandoverResponse,
    cluster.ConfirmationAgeRequest,
    cluster.ConfirmationAgeResponse,
    cluster.DataPlane,
    cluster.DataPlaneList,
    cluster.ContactRequest,
    cluster.ContactResponse,
}
CURRENT_INSTANCE_CLASSES: dict[str, type[msgspec.Struct]] = {
    "Letter": gossip_messages.GossipMessage,
    "Upward": gossip_messages.SummaryMessage,
    "Query": maintenance_messages.PositionQuery,
    "Reply": maintenance_messages.PositionReply,
    "Asked": maintenance_messages.RegisterRequestMessage,
    "Answered": maintenance_messages.RegisterResponseMessage,
    "Tell": maintenance_messages.VoterStateQuery,
    "Told": maintenance_messages.VoterStateReply,
    "Please": maintenance_messages.MaintenanceRequestMessage,
    "Thanks": maintenance_messages.MaintenanceRequestAck,
}


def message_classes(module: Any) -> list[type[betterproto.Message]]:
    """Return the message classes that a module defines, in order of definition."""
    classes = [kind for kind in vars(module).values() if isinstance(kind, type) and issubclass(kind, betterproto.Message)]
    return [kind for kind in classes if kind.__module__ == module.__name__]


def old_class(name: str) -> type[betterproto.Message]:
    """Return a message class of version 3fe6cd9."""
    return next(kind for kind in message_classes(messages_3fe6cd9) if kind.__name__ == name)


def by_number(value: Any) -> Any:
    """Return a message as plain values by field number, with bytes as {"bytes": hex} and without empty added fields."""
    if isinstance(value, betterproto.Message):
        numbered = [(field.metadata["betterproto"].number, getattr(value, field.name)) for field in dataclasses.fields(value)]
        added = ADDED_FIELDS.get(type(value), set())
        return {str(number): by_number(one) for number, one in numbered if number not in added or not is_empty(one)}
    if isinstance(value, list):
        return [by_number(one) for one in value]
    return {"bytes": value.hex()} if isinstance(value, bytes) else value


def is_empty(value: Any) -> bool:
    """Return whether a field has no bytes on the wire."""
    return not bytes(value) if isinstance(value, betterproto.Message) else not value


def as_json(message: msgspec.Struct) -> Any:
    """Return a message between instances as decoded JSON: fields as array elements, bytes in base 64."""
    return json.loads(msgspec.json.encode(message))


def field_types(kind: type[betterproto.Message], current: dict[str, type[betterproto.Message]] | None = None) -> dict:
    """Return wire type, repetition and message class by field number; `current` maps the names of old classes."""
    message, types = kind(), {}
    for field in dataclasses.fields(kind):
        meta = field.metadata["betterproto"]
        inner = message._cls_for(field) if meta.proto_type == betterproto.TYPE_MESSAGE else None
        if inner is not None and current is not None:
            inner = current[inner.__name__]
        repeated = isinstance(message._get_field_default(field, meta), list)
        types[meta.number] = (meta.proto_type, repeated, meta.map_types, meta.group, meta.wraps, inner)
    return types


class MessageClasses(unittest.TestCase):
    def test_the_table_names_every_class_once(self):
        old, now = message_classes(messages_3fe6cd9), message_classes(cluster)
        self.assertEqual([kind.__name__ for kind in old], list(CURRENT_CLASSES))
        self.assertEqual(len(old), 27)
        self.assertEqual(len(set(CURRENT_CLASSES.values())), len(CURRENT_CLASSES))
        self.assertEqual(set(now), set(CURRENT_CLASSES.values()) | ADDED_CLASSES)
        self.assertFalse(ADDED_CLASSES & set(CURRENT_CLASSES.values()))

    def test_numbers_and_types_of_all_fields_are_unchanged(self):
        for name, kind in CURRENT_CLASSES.items():
            with self.subTest(name):
                old, now = field_types(old_class(name), CURRENT_CLASSES), field_types(kind)
                self.assertEqual({number: now[number] for number in now if number not in ADDED_FIELDS.get(kind, set())}, old)
                self.assertEqual(set(now) - set(old), ADDED_FIELDS.get(kind, set()))


class ClusterMessages(unittest.TestCase):
    def test_each_class_is_recorded_with_no_field_at_its_default(self):
        self.assertEqual([recorded["class"] for recorded in RECORDED["cluster"]], list(CURRENT_CLASSES))
        for recorded in RECORDED["cluster"]:
            fields = dataclasses.fields(old_class(recorded["class"]))
            numbers = {str(field.metadata["betterproto"].number) for field in fields}
            self.assertEqual(set(recorded["values"]), numbers, recorded["class"])
            self.assertTrue(all(recorded["values"].values()), recorded["class"])

    def test_current_classes_parse_the_recorded_values(self):
        for recorded in RECORDED["cluster"]:
            with self.subTest(recorded["class"]):
                message = CURRENT_CLASSES[recorded["class"]]().parse(bytes.fromhex(recorded["bytes"]))
                self.assertEqual(by_number(message), recorded["values"])

    def test_current_classes_encode_the_recorded_bytes(self):
        for recorded in RECORDED["cluster"]:
            with self.subTest(recorded["class"]):
                message = CURRENT_CLASSES[recorded["class"]]().parse(bytes.fromhex(recorded["bytes"]))
                self.assertEqual(message._unknown_fields, b"")
                self.assertEqual(bytes(message).hex(), recorded["bytes"])

    def test_old_classes_parse_what_current_ones_encode(self):
        for recorded in RECORDED["cluster"]:
            with self.subTest(recorded["class"]):
                current = CURRENT_CLASSES[recorded["class"]]().parse(bytes.fromhex(recorded["bytes"]))
                old = old_class(recorded["class"])().parse(bytes(current))
                self.assertEqual(by_number(old), recorded["values"])


class InstanceMessages(unittest.TestCase):
    def test_all_kinds_are_recorded(self):
        gossip = [recorded["values"] for recorded in RECORDED["fleet"] if recorded["class"] == "Letter"]
        self.assertEqual({values[6] for values in gossip}, {"ping", "ack", "help", "word"})
        self.assertTrue(all(gossip[0]))
        self.assertEqual(
            {recorded["class"] for recorded in RECORDED["fleet"] + RECORDED["upkeep"]}, set(CURRENT_INSTANCE_CLASSES)
        )

    def check(self, recorded: dict, message: Any, encoded: bytes) -> None:
        self.assertIs(type(message), CURRENT_INSTANCE_CLASSES[recorded["class"]])
        self.assertEqual(as_json(message), recorded["values"])
        self.assertEqual(encoded.hex(), recorded["bytes"])

    def test_gossip(self):
        for recorded in RECORDED["fleet"]:
            with self.subTest(recorded["class"]):
                data = bytes.fromhex(recorded["bytes"])
                if recorded["class"] == "Letter":
                    message = gossip_messages.decode(data, "blue")
                    self.check(recorded, message, gossip_messages.encode(message))
                else:
                    summary = gossip_messages.decode_summary_message(data)
                    self.check(recorded, summary, gossip_messages.encode_summary_message(summary))

    def test_gossip_messages_carry_the_other_messages(self):
        message = gossip_messages.decode(bytes.fromhex(RECORDED["fleet"][0]["bytes"]), "blue")
        summary = gossip_messages.decode_summary_message(message.summary_data)
        self.assertEqual(as_json(summary), RECORDED["fleet"][-1]["values"])
        self.assertIs(type(maintenance_messages.decode(message.extension)), CURRENT_INSTANCE_CLASSES["Tell"])

    def test_maintenance(self):
        for recorded in RECORDED["upkeep"]:
            with self.subTest(recorded["class"]):
                message = maintenance_messages.decode(bytes.fromhex(recorded["bytes"]))
                self.check(recorded, message, maintenance_messages.encode(message))
                self.assertEqual(msgspec.msgpack.decode(bytes.fromhex(recorded["bytes"]))[0], recorded["class"])


if __name__ == "__main__":
    unittest.main()
