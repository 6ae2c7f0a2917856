"""A backend that sends an answer twice: the second copy settles no later send of the same request, on real sockets."""

from __future__ import annotations

import unittest

from mulleinhatch.data_plane.request_state import NOT_EXECUTED_STATUSES
from tests.system.exchange_sockets import MODEL, Backend, ExchangeTestCase


class RepeatedAnswers(ExchangeTestCase):
    async def assert_executed_at_most_once(self, route: str, *script: str) -> None:
        """Send a request to the only backend that holds its model and check what was executed against the response."""
        backend = Backend(list(script))
        async with self.data_plane(backend, models={MODEL: frozenset()}) as address:
            response = await self.send_request(address, route, b"r1", MODEL)
        self.assertLessEqual(len(backend.executed), 1, (response, backend.executed))
        if response.status in NOT_EXECUTED_STATUSES:
            self.assertEqual(backend.executed, [], response)

    # Guards against TWICE of issue 76: a second copy of a rejection settled the next send, which the backend executed.
    async def test_a_repeated_rejection_does_not_make_a_request_run_twice(self):
        await self.assert_executed_at_most_once("unsafe", "not_executed", "repeat_rejection_and_respond", "respond")

    # Guards against REFUSED of issue 76: the client got 503 although the backend executed the send that the copy settled.
    async def test_a_repeated_rejection_does_not_refuse_a_request_that_ran(self):
        await self.assert_executed_at_most_once("unsafe", "not_executed", "repeat_rejection_and_respond", "not_executed")


if __name__ == "__main__":
    unittest.main()
