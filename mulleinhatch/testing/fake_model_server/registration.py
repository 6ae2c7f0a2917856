"""Registration of a fake model server with the control plane."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus

from mulleinhatch.networking.http_client import HttpCallError, HttpClient
from mulleinhatch.testing.fake_model_server.config import FakeModelServerConfig
from mulleinhatch.testing.fake_model_server.model_store import ModelStore

HEARTBEAT_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0


class Registration:
    """Sends heartbeats to one control-plane node, and fails over to the next if it does not answer.

    Args:
        backend_id: The id of this incarnation.
        config: Properties that the heartbeats report.
        store: The loaded models.
        control_addresses: Addresses of the control-plane nodes.
    """

    def __init__(self, backend_id: str, config: FakeModelServerConfig, store: ModelStore, control_addresses: list[str]) -> None:
        self._config, self._store, self._addresses = config, store, list(control_addresses)
        self._path = f"/instances/{backend_id}"
        self._http_client = HttpClient()
        self._sequence = 0
        self.is_draining = False

    async def run(self) -> None:
        """Send heartbeats forever."""
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat, at most once to each control-plane node."""
        self._sequence += 1
        body = json.dumps(self._heartbeat()).encode()
        for _ in range(len(self._addresses)):
            try:
                response = await self._http_client.request(
                    self._addresses[0], "PUT", self._path, body, CALL_TIMEOUT_S, "application/json"
                )
                if response.status == HTTPStatus.OK:
                    return
            except HttpCallError:
                pass
            self._addresses.append(self._addresses.pop(0))

    async def deregister(self) -> None:
        """Report to the first control-plane node that answers that this backend has ended."""
        for address in self._addresses:
            try:
                await self._http_client.request(address, "DELETE", self._path, b"", CALL_TIMEOUT_S)
                break
            except HttpCallError:
                continue

    def _heartbeat(self) -> dict[str, object]:
        return {
            "service": self._config.service,
            "address": self._config.address,
            "zone": self._config.zone,
            "version": "v1",
            "slots": self._config.slots,
            "state": "draining" if self.is_draining else "ready",
            "cold_remaining_ms": 0,
            "models": self._store.records(),
            "sequence": self._sequence,
        }
