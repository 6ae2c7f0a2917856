"""The configuration by which a data plane routes, and its replacement by the updates that control-plane nodes send."""

from __future__ import annotations

import logging
import os
import zlib
from typing import Any

from result import Err

from mulleinhatch.configuration.document import EMPTY, Document, accept_patch_steps, replaced_items_steps, with_item_lists_steps
from mulleinhatch.configuration.encoding import decompressed
from mulleinhatch.configuration.json_reader import read_json_steps
from mulleinhatch.configuration.routes import RouteTable, RouteTableBuilder
from mulleinhatch.configuration.tenants import TenantTableBuilder
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.messages.cluster import PollResponse
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.steps import Steps
from mulleinhatch.tenants.api_keys import KeyDigester

LOG = logging.getLogger(__name__)
DIGEST_KEY_BYTES = 32  # length of the random key for this process's digests of the tenants' API keys


class UnusableConfigurationError(ConfigurationError):
    """A configuration update from a node can't be applied; the complete configuration is requested instead."""


class ConfigurationInForce:
    """The configuration in force and its route table. Its version never goes back.

    Args:
        slicer: Runs the work that grows with the configuration.

    Attributes:
        table: The route table.
        is_incomplete: Whether an update could not be applied to the configuration in force: a complete one is needed.
    """

    def __init__(self, slicer: TimeSlicer) -> None:
        self._slicer = slicer
        self._document: Document = EMPTY
        self._table_builder = RouteTableBuilder()
        self._tenants = TenantTableBuilder(KeyDigester(os.urandom(DIGEST_KEY_BYTES)))
        self.table = RouteTable()
        self.is_incomplete = False

    @property
    def version(self) -> int:
        """The version in force, 0 before the first one."""
        return self._document.version

    @property
    def base_version(self) -> int:
        """The version that an update may build on, 0 if only a complete configuration can be applied."""
        return 0 if self.is_incomplete else self._document.version

    def is_wanted(self, update: PollResponse) -> bool:
        """Return whether an update is newer than the configuration in force, or a complete one that was requested."""
        if update.base_version:
            return update.configuration_version > self._document.version == update.base_version
        if self.is_incomplete:
            return update.configuration_version >= self._document.version
        return update.configuration_version > self._document.version

    async def replace(self, update: PollResponse, control_plane: str) -> list[Any]:
        """Put the configuration of an update into force.

        Args:
            update: An update that is wanted.
            control_plane: Address of the node that sent it.

        Returns:
            What it replaced, to be released once nothing else uses it; nothing if the update can't be applied.
        """
        try:
            document = await self._slicer.run("decoding of a configuration", self._decode_configuration(update))
            table = await self._slicer.run("building of a route table", self._build_table(document))
        except UnusableConfigurationError as error:
            self._table_builder = RouteTableBuilder()  # it may have followed a part of the update
            LOG.error(
                "configuration update can't be applied; requesting the complete configuration",
                extra={"version": update.configuration_version, "error": str(error)},
            )
            self.is_incomplete = True
            return []
        replaced = await self._slicer.run("building of a route table", replaced_items_steps(self._document, document))
        replaced += [*self._table_builder.replaced, *self._tenants.replaced]
        self._table_builder.replaced, self._tenants.replaced = [], []
        self._document, self.table, self.is_incomplete = document, table, False
        source = {"control_plane": control_plane, "view_epoch": update.epoch, "is_confirmed": update.authoritative}
        LOG.info("configuration in force", extra={"version": document.version, **source})
        return replaced

    def _decode_configuration(self, update: PollResponse) -> Steps[Document]:
        """Return the configuration of an update, which holds either a complete one or patches.

        Raises:
            UnusableConfigurationError: The bytes can't be read, a patch does not apply, or the resulting version differs.
        """
        try:
            value = yield from read_json_steps((yield from decompressed(update.configuration)))
        except (zlib.error, ValueError, RecursionError) as error:
            raise UnusableConfigurationError(f"its bytes can't be read: {error}") from error
        if not update.base_version:
            return Document(update.configuration_version, (yield from with_item_lists_steps(value)))
        document = self._document
        for patch in value:
            yield
            try:
                patched = yield from accept_patch_steps(document, patch)
            except (AttributeError, KeyError, TypeError) as error:
                raise UnusableConfigurationError(f"a patch is malformed: {error!r}") from error
            if isinstance(patched, Err):
                raise UnusableConfigurationError(f"a patch does not apply: {patched.err_value}")
            document = patched.ok_value
        if document.version != update.configuration_version:
            raise UnusableConfigurationError(f"its patches lead to version {document.version}")
        return document

    def _build_table(self, document: Document) -> Steps[RouteTable]:
        """Return the route table of a configuration that a control-plane node sent.

        Raises:
            UnusableConfigurationError: The value is not a valid configuration.
        """
        try:
            tenants = yield from self._tenants.build_steps(document.value)
            return (yield from self._table_builder.build_steps(document, tenants))
        except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
            raise UnusableConfigurationError(f"it is not a valid configuration: {error!r}") from error
