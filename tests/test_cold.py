"""Tests of targets that turn cold again while requests are on their way."""

import testtools

from .test_notices import open_gateway
from .trial import run_async


class QueuedRequestTests(testtools.TestCase):
    """Requests that wait for a connection to a target that turns cold."""

    async def call_while_target_turns_cold(self, deployment, count, other_state):
        """Send requests that wait for the connection of one of two targets.

        That target turns cold meanwhile. Return the statuses of the answers.
        """
        deployment.targets[0].delay_s = 0.1

        def turn_cold(target, other):
            deployment.register(other, state=other_state)
            deployment.register(target, warmup_left_ms=3000)

        return await deployment.call_while_one_connection_is_busy(count, turn_cold)

    @run_async
    async def test_waiting_requests_go_to_another_target(self):
        """Guards against a burst of waiting requests at a target that turned cold."""
        async with open_gateway() as deployment:
            statuses = await self.call_while_target_turns_cold(deployment, 8, "ready")
            target, other = deployment.targets
            self.assertEqual([200] * 8, statuses)
            self.assertEqual((1, 7), (len(target.ran), len(other.ran)))

    @run_async
    async def test_waiting_requests_without_another_target_are_refused(self):
        """Guards against the same if no other target can take the requests.

        They have not run, and the callers are told so at once.
        """
        async with open_gateway() as deployment:
            statuses = await self.call_while_target_turns_cold(
                deployment, 8, "draining"
            )
            target, _ = deployment.targets
            self.assertEqual([200] + [503] * 7, sorted(statuses))
            self.assertEqual(1, len(target.ran))
