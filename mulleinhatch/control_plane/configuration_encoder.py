"""Encode the configuration for the polls of data planes: each update once, however many of them need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from mulleinhatch.configuration.encoding import compressed, json_chunks, patch_list_chunks
from mulleinhatch.process.time_slices import TimeSlicer
from mulleinhatch.replication.state import ControlState
from mulleinhatch.steps import Steps

MAX_PATCHES = 32  # a data plane further behind gets the complete configuration


@dataclass(frozen=True)
class EncodedConfiguration:
    """An update for data planes.

    Attributes:
        version: The version that it leads to.
        base_version: The version that its patches apply to, 0 for a complete configuration.
        data: Compressed JSON: the patches, or the configuration.
    """

    version: int
    base_version: int
    data: bytes


class ConfigurationEncoder:
    """Encodes updates to the current version, and keeps them while it is current.

    Args:
        state: The replicated state.
        slicer: Runs the encoding.
    """

    def __init__(self, state: ControlState, slicer: TimeSlicer) -> None:
        self._state, self._slicer = state, slicer
        self._version = 0
        self._updates: dict[int, EncodedConfiguration] = {}  # to `_version`, by base version
        self._lock = asyncio.Lock()

    async def encode(self, known_version: int) -> EncodedConfiguration:
        """Return the update from a version that a data plane has, 0 for none, to the current one.

        While it is encoded the configuration may change again: the update leads to the version that was current before.
        """
        async with self._lock:  # the first poll encodes, the others find the update
            document = self._state.document
            if self._version != document.version:
                self._version, self._updates = document.version, {}
            patches = self._state.patches_since(known_version) if known_version else None
            base_version = known_version if patches is not None and len(patches) <= MAX_PATCHES else 0
            update = self._updates.get(base_version)
            if update is None:
                chunks = patch_list_chunks(patches) if base_version else json_chunks(document.value)
                data = await self._run(compressed(chunks))
                update = self._updates[base_version] = EncodedConfiguration(document.version, base_version, data)
            return update

    async def _run(self, steps: Steps[bytes]) -> bytes:
        return await self._slicer.run("encoding of the configuration for data planes", steps)
