"""The base class of the internal messages behaves like betterproto's; the planes do not import unused modules."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest
from dataclasses import dataclass
from pathlib import Path

import betterproto

from mulleinhatch.messages import base, cluster

ROOT = Path(__file__).parents[2]
MESSAGES = [
    message_type
    for message_type in vars(cluster).values()
    if isinstance(message_type, type) and issubclass(message_type, base.Message) and message_type is not base.Message
]


class MessageBase(unittest.TestCase):
    def test_every_message_uses_the_base_class(self):
        self.assertGreater(len(MESSAGES), 20)
        for message_type in MESSAGES:
            self.assertIn("__post_init__", dir(message_type))
            self.assertIs(message_type.__post_init__, base.Message.__post_init__)

    def test_a_new_message_equals_that_of_betterproto(self):
        for message_type in MESSAGES:
            ours, theirs = message_type(), message_type()
            betterproto.Message.__post_init__(theirs)
            with self.subTest(message_type.__name__):
                self.assertEqual(ours, theirs)
                self.assertEqual(ours._unknown_fields, theirs._unknown_fields)
                self.assertEqual((bytes(ours), ours._serialized_on_wire), (b"", False))

    def test_a_message_with_a_value_counts_as_set(self):
        member = cluster.Member(name="n1")
        self.assertTrue(member._serialized_on_wire)
        member = cluster.Member()
        member.name = "n1"
        self.assertTrue(member._serialized_on_wire)
        self.assertEqual(cluster.Member().parse(bytes(member)), member)

    def test_defaults_are_not_shared(self):
        first, second = cluster.View(), cluster.View()
        first.voters.append(cluster.Member(name="n1"))
        self.assertEqual(second.voters, [])

    def test_unknown_fields_survive(self):
        newer = bytes(cluster.Member(name="n1")) + bytes([0x82, 0x7D, 0x01]) + b"x"
        self.assertEqual(bytes(cluster.Member().parse(newer)), newer)

    def test_a_one_of_group_is_rejected(self):
        @dataclass
        class Either(base.Message):
            one: str = betterproto.string_field(1, group="which")

        with self.assertRaisesRegex(TypeError, "one-of"):
            Either()


class ImportedModules(unittest.TestCase):
    def test_the_planes_import_only_what_they_use(self):
        """Each imported module lengthens the start; neither plane needs those listed here."""
        unused = ["circuits.web.controllers", "circuits.web.dispatchers", "circuits.web.client", "fire", "pkg_resources"]
        for plane in ("control_plane", "data_plane"):
            code = (
                f"import json, sys, mulleinhatch.cli.system.start, mulleinhatch.{plane}.process\n"
                f"print(json.dumps([name for name in {unused!r} if sys.modules.get(name)]))"
            )
            printed = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True).stdout
            self.assertEqual(json.loads(printed), [], plane)


if __name__ == "__main__":
    unittest.main()
