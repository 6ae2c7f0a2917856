"""Background work that must not end: what raises is logged with its name and begun again after a pause."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

LOG = logging.getLogger(__name__)
RESTART_DELAY_S = 0.5


async def supervise(name: str, work: Callable[[], Awaitable[None]], restart_delay_s: float = RESTART_DELAY_S) -> None:
    """Runs `work` for ever. An OSError (a disk that refuses, a connection) is expected trouble, anything else is a fault."""
    while True:
        try:
            await work()
            LOG.error("work ended and is begun again", extra={"work": name})
        except OSError as error:
            LOG.warning("work met an error and is begun again", extra={"work": name, "error": str(error)})
        except Exception:
            LOG.exception("work failed and is begun again", extra={"work": name})
        await asyncio.sleep(restart_delay_s)
