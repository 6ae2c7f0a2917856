"""An operator sends an earlier configuration once more, on top of the current one: it is acknowledged, and not in force."""

import asyncio
import sys
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from lab2 import HOST, Deployment, Operator, Record, Server, call, main, wait_until_ready  # noqa: E402

APPLY_S = 2.0  # bounds.configuration_apply_ms


def configuration(version: int, service: str) -> dict:
    """Return a configuration whose only route leads to a service."""
    route = {
        "name": "check",
        "host": HOST,
        "path_prefix": "/check/",
        "kind": "unsafe",
        "timeout_ms": 4000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
    }
    services = [{"name": name, "health_check_path": "/health", "connection_limit": 96} for name in ("blue", "green")]
    return {"version": version, "routes": [route], "services": services, "limits": {}}


async def ask(front: str) -> str:
    """Send one request; return the body of the answer."""
    headers = {"Host": HOST, "Request-Id": uuid.uuid4().hex[:16], "Request-Deadline": "4000"}
    return (await call(front, "POST", "/check/x", b"x", headers, 5.0)).body.decode()


async def case(record: Record, is_troubled: bool) -> bool:
    """Return whether the rule CONFIG held."""
    deployment, arrivals = Deployment(3, 2), []
    servers = [
        Server(
            service,
            f"{deployment.server_ips[number]}:{deployment.server_port}",
            "zone-0",
            deployment.control_addresses(),
            arrivals,
        )
        for number, service in enumerate(("blue", "green"))
    ]
    try:
        deployment.start()
        for server in servers:
            await server.start()
        operator = Operator(deployment.control_addresses, record.log)
        first, second = configuration(1, "blue"), configuration(2, "green")
        if await operator.change("PUT", 0, first) != 200 or await operator.change("PUT", 1, second) != 200:
            raise RuntimeError("the configurations were not taken")
        await wait_until_ready(deployment)
        await asyncio.gather(*(server.registered.wait() for server in servers))
        await asyncio.sleep(APPLY_S)
        status = 0
        if is_troubled:
            status = await operator.change("PUT", 2, first)  # version 1 on top of version 2
            record.log(event="version 1 sent with If-Match: 2", status=status)
            await asyncio.sleep(APPLY_S)
        fronts = [node.settings["listen.front"] for node in deployment.fronts]
        sent_at = time.monotonic()
        for number in range(20):
            record.log(event="request", answer=await ask(fronts[number % 2]))
        ran_by = {arrival.server for arrival in arrivals if arrival.at >= sent_at and arrival.ran}
        services = sorted(server.service for server in servers if server.id in ran_by)
        newest = await operator.read()
        held = status != 200 and services == ["green"] and newest is not None and newest["version"] == 2
        record.log(event="verdict", rule="CONFIG", held=held, ran_by=services, version_read=newest and newest["version"])
        return held
    finally:
        for server in servers:
            server.stop()
        deployment.stop()


main(FOLDER, case)
