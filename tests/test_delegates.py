"""Tests of delegating shards to other VMs, over real loopback channels."""

import contextlib

import testtools
import trio

from tarragonchute.channels import Channel, ChannelListener
from tarragonchute.delegates import (
    HELLO_TIMEOUT_S,
    SLOW_ACK_S,
    SUSPECT_MIN_S,
    Delegate,
    Delegates,
    DomainLeaders,
)
from tarragonchute.fleet import VmInfo
from tarragonchute.leaders import MIN_WIDE_SEARCH_SHARDS
from tarragonchute.memory import MemoryAccount, MemoryLimits
from tarragonchute.reactor import Reactor
from tarragonchute.replicas import ReplyTimes
from tarragonchute.shardserver import SUBSEARCH_BYTES, ShardServer
from tarragonchute.subsearches import Cancellation, Hello, decode_message

from .test_channels import RecordingOwner, wait_for
from .test_queries import QueryHarness
from .test_subsearches import build_subsearch
from .trial import run_async

SERVICES = tuple(f"s{number}" for number in range(MIN_WIDE_SEARCH_SHARDS))
MAINTENANCE_INTERVAL_S = 0.01


class RecordingShards:
    """Records the answers to a subsearch and the loss of its channel."""

    def __init__(self):
        self.number = 0
        self.is_acknowledged = False
        self.answers = []
        self.loss_reasons = []

    def handle_acknowledged(self, now):
        self.is_acknowledged = True

    def handle_answer(self, answer, now):
        self.answers.append(answer)

    def handle_channel_loss(self, reason, now):
        self.loss_reasons.append(reason)


class TwoVms:
    """A VM that runs subsearches, and one that delegates shards to it.

    `harness` records the requests that the first one sends to targets; `ended` lists
    its subsearches that have ended.
    """

    def __init__(self, nursery, reactor):
        self.reactor = reactor
        self.harness = QueryHarness(SERVICES)
        self.ended = []
        self.server = ShardServer(
            "vm-2",
            self.harness.context,
            lambda name, goal_s: ReplyTimes(goal_s, 0.1),
            self.ended.append,
        )
        nursery.start_soon(self.server.run)
        self.listener = ChannelListener(reactor, "127.0.0.1:0", self.server)
        self.vm = VmInfo("vm-2", "a", "", self.listener.address, 10.0)
        self.delegate = Delegate(self.vm, "vm-1", reactor)
        nursery.start_soon(self._maintain_channel)

    async def _maintain_channel(self):
        while True:
            self.delegate.maintain_channel(trio.current_time())
            await trio.sleep(MAINTENANCE_INTERVAL_S)

    def is_usable(self):
        return self.delegate.is_usable(trio.current_time())

    async def connect(self):
        """Return once the other VM accepts subsearches."""
        self.server.start_accepting(trio.current_time())
        await wait_for(self.is_usable)

    def delegate_two_shards(self):
        """Send a subsearch for two shards; return their `RecordingShards`."""
        delegated = RecordingShards()
        subsearch = build_subsearch()
        self.delegate.send_subsearch(delegated, subsearch, trio.current_time())
        return delegated


@contextlib.asynccontextmanager
async def open_vms():
    """Yield `TwoVms` with a running reactor."""
    reactor = Reactor()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reactor.run)
        yield TwoVms(nursery, reactor)
        nursery.cancel_scope.cancel()
    reactor.close()


class DelegateTests(testtools.TestCase):
    """The state of one other VM, and subsearches sent to it."""

    @run_async
    async def test_subsearch_is_acknowledged_and_answered(self):
        """Guards against losing the replies of delegated shards."""
        async with open_vms() as vms:
            await vms.connect()
            delegated = vms.delegate_two_shards()
            await wait_for(lambda: len(vms.harness.started) == 2)
            self.assertEqual([], delegated.answers)
            for number, exchange in enumerate(vms.harness.started):
                digest = f"d{number}".encode()
                now = trio.current_time()
                vms.harness.reply(exchange, now, digest=digest, body=b"r" * 16)
            await wait_for(lambda: delegated.answers)
            self.assertTrue(delegated.is_acknowledged)
            self.assertTrue(delegated.answers[-1].is_final)
            self.assertEqual([b"d0", b"d1"], delegated.answers[-1].digests)
            self.assertEqual({}, vms.delegate.open_subsearches)
            await wait_for(lambda: vms.ended)

    @run_async
    async def test_subsearch_without_room_is_refused_as_not_asked(self):
        """Guards against subsearches of other VMs that fill the memory.

        The shards have to go elsewhere; the bytes are free again after the end.
        """
        async with open_vms() as vms:
            await vms.connect()
            limits = MemoryLimits(160, 1024)
            limits.held_bytes = SUBSEARCH_BYTES * 2
            memory = vms.server.memory = MemoryAccount(limits)
            first, second = vms.delegate_two_shards(), vms.delegate_two_shards()
            await wait_for(lambda: second.answers)
            self.assertFalse(second.is_acknowledged)
            answer = second.answers[-1]
            self.assertEqual((True, False), (answer.is_final, answer.has_run))
            self.assertEqual(build_subsearch().services, answer.unasked)
            self.assertEqual([], first.answers)
            for exchange in vms.harness.started:
                vms.harness.reply(exchange, trio.current_time())
            await wait_for(lambda: vms.ended)
            self.assertEqual(0, memory.held_bytes)

    @run_async
    async def test_vm_without_configuration_is_not_used(self):
        """Guards against delegating shards to a VM that does not know the targets yet.

        Many VMs are in this state while the whole fleet restarts.
        """
        async with open_vms() as vms:
            await trio.sleep(5 * MAINTENANCE_INTERVAL_S)
            self.assertFalse(vms.is_usable())
            await vms.connect()

    @run_async
    async def test_vm_that_shuts_down_is_not_used(self):
        """Guards against losing shards when VMs shut down one after the other.

        A VM that shuts down gets no new subsearches and completes those in flight.
        """
        async with open_vms() as vms:
            await vms.connect()
            delegated = vms.delegate_two_shards()
            await wait_for(lambda: delegated.is_acknowledged)
            vms.server.start_draining(trio.current_time())
            await wait_for(lambda: not vms.is_usable())
            self.assertEqual([], delegated.loss_reasons)

    @run_async
    async def test_cancellation_ends_the_subsearch(self):
        """Guards against requests to targets for a caller that has disconnected."""
        async with open_vms() as vms:
            await vms.connect()
            delegated = vms.delegate_two_shards()
            await wait_for(lambda: len(vms.harness.started) == 2)
            vms.delegate.cancel(delegated.number, trio.current_time())
            await wait_for(lambda: vms.ended)
            pool = vms.harness.started[0].pool
            self.assertEqual([vms.harness.started[0]], pool.abandoned)
            self.assertEqual([], delegated.answers)

    @run_async
    async def test_stop_waits_for_the_subsearches_in_progress(self):
        """Guards against a planned stop that ends subsearches of other VMs.

        Their callers wait for shards that this VM has acknowledged.
        """
        async with open_vms() as vms:
            await vms.connect()
            delegated = vms.delegate_two_shards()
            await wait_for(lambda: delegated.is_acknowledged)
            vms.server.start_draining(trio.current_time())
            with trio.move_on_after(0.05) as scope:
                await vms.server.wait_until_idle()
            self.assertTrue(scope.cancelled_caught)
            vms.delegate.cancel(delegated.number, trio.current_time())
            with trio.fail_after(1):
                await vms.server.wait_until_idle()

    @run_async
    async def test_subsearch_that_expired_during_a_pause_is_not_run(self):
        """Guards against acting on a time limit that ran out during a pause.

        The message waited in the socket of a VM that was paused for three seconds.
        """
        async with open_vms() as vms:
            await vms.connect()
            vms.server.get_pause_s = lambda now: 3.0
            delegated = vms.delegate_two_shards()
            await wait_for(lambda: delegated.answers)
            self.assertFalse(delegated.is_acknowledged)
            self.assertFalse(delegated.answers[0].has_run)
            self.assertEqual([], vms.harness.started)

    @run_async
    async def test_subsearch_that_waited_has_less_time_left(self):
        """Guards against giving targets more time than the caller has."""
        async with open_vms() as vms:
            await vms.connect()
            vms.server.get_pause_s = lambda now: 0.2
            vms.delegate_two_shards()
            await wait_for(lambda: vms.harness.started)
            request = vms.harness.started[0].request
            time_limit_ms = int(request.partition(b"Time-Limit: ")[2].split(b"\r\n")[0])
            self.assertLess(time_limit_ms, 200)

    @run_async
    async def test_lost_channel_ends_the_subsearch_on_both_sides(self):
        """Guards against running a subsearch of, or waiting for, a VM that is gone."""
        async with open_vms() as vms:
            await vms.connect()
            delegated = vms.delegate_two_shards()
            await wait_for(lambda: len(vms.harness.started) == 2)
            vms.delegate.close(trio.current_time())
            self.assertEqual(["no longer needed"], delegated.loss_reasons)
            await wait_for(lambda: vms.ended)
            await wait_for(vms.is_usable)

    @run_async
    async def test_subsearch_cancelled_before_its_start_is_not_run(self):
        """Guards against running subsearches that were cancelled while the VM paused.

        After the pause, the VM receives a subsearch and its cancellation together.
        """
        async with open_vms() as vms:
            vms.server.start_accepting(0.0)
            owner = RecordingOwner()
            channel = Channel.open(vms.reactor, vms.vm.search_address, owner)
            subsearch = build_subsearch(number=5)
            now = trio.current_time()
            payloads = [subsearch.encode(), Cancellation(5).encode()]
            vms.server.handle_frames(channel, payloads, now)
            await trio.sleep(5 * MAINTENANCE_INTERVAL_S)
            self.assertEqual([], vms.harness.started)

    @run_async
    async def test_repeated_number_closes_the_channel(self):
        """Guards against a VM whose messages with one number end this process."""
        async with open_vms() as vms:
            await vms.connect()
            memory = vms.server.memory = MemoryAccount(MemoryLimits(160, 1024))
            channel = Channel.open(vms.reactor, vms.vm.search_address, RecordingOwner())
            payload = build_subsearch(number=5).encode()
            now = trio.current_time()
            vms.server.handle_frames(channel, [payload], now)
            vms.server.handle_frames(channel, [payload, payload], now)
            self.assertTrue(channel.is_closed)
            with trio.fail_after(1):
                await vms.server.wait_until_idle()
            self.assertEqual(1, len(vms.ended))
            self.assertEqual(0, memory.held_bytes)

    @run_async
    async def test_memory_is_released_after_an_error(self):
        """Guards against memory that stays reserved for subsearches that failed.

        One fails before its task starts, one while its end is recorded.
        """

        def fail(*_):
            raise ValueError

        async with open_vms() as vms:
            await vms.connect()
            memory = vms.server.memory = MemoryAccount(MemoryLimits(160, 1024))
            channel = Channel.open(vms.reactor, vms.vm.search_address, RecordingOwner())
            payload = build_subsearch(number=5).encode()
            find_reply_times = vms.server._find_reply_times
            vms.server._find_reply_times = fail
            with contextlib.suppress(ValueError):
                vms.server.handle_frames(channel, [payload], trio.current_time())
            self.assertEqual(0, memory.held_bytes)
            vms.server._find_reply_times = find_reply_times
            with contextlib.suppress(ExceptionGroup), trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    vms.server._nursery = nursery
                    vms.server._remove_running = fail
                    vms.server.handle_frames(channel, [payload], trio.current_time())
                    self.assertNotEqual(0, memory.held_bytes)
                    scope.cancel()
            self.assertEqual(0, memory.held_bytes)

    @run_async
    async def test_unresponsive_vm_must_answer_a_hello(self):
        """Guards against every search waiting for the same unresponsive VM."""
        async with open_vms() as vms:
            await vms.connect()
            now = trio.current_time()
            vms.delegate.record_ack_timeout(now)
            self.assertFalse(vms.delegate.is_usable(now))
            await wait_for(vms.is_usable)
            self.assertGreaterEqual(trio.current_time() - now, SUSPECT_MIN_S)

    @run_async
    async def test_hung_channel_is_reopened(self):
        """Guards against a VM that stays unused because its connection hangs."""
        async with open_vms() as vms:
            await wait_for(lambda: vms.server._waiting_channels)
            (dead,) = vms.server._waiting_channels
            await trio.sleep(HELLO_TIMEOUT_S)
            await wait_for(lambda: vms.server._waiting_channels - {dead})
            await vms.connect()

    @run_async
    async def test_slow_vm_is_not_used_for_a_while(self):
        """Guards against searches that wait for a VM starved of processor time."""
        async with open_vms() as vms:
            await vms.connect()
            now = trio.current_time()
            for _ in range(5):
                vms.delegate.record_acknowledgement(2 * SLOW_ACK_S, now)
            self.assertFalse(vms.is_usable())
            self.assertTrue(vms.delegate.is_usable(now + 10.0))


class DomainLeadersTests(testtools.TestCase):
    """The choice among leaders and spare VMs when some are not usable."""

    def test_remaining_leaders_are_used_before_spare_vms(self):
        """Guards against using small spare VMs while a leader remains usable.

        The other leader may be slow, for example for lack of processor time.
        """
        vms = [VmInfo(f"vm-{n}", "a", "", f"10.0.0.1:{n + 1}", 9.0) for n in range(2)]
        vms += [VmInfo(f"vm-{n}", "a", "", f"10.0.0.1:{n + 1}") for n in range(2, 9)]
        domain_leaders = DomainLeaders(vms)
        unusable = set()

        def choose():
            return {
                vm.vm_id
                for vm in domain_leaders.choose(lambda vm: vm.vm_id not in unusable)
            }

        self.assertEqual({"vm-0", "vm-1"}, choose())
        unusable.add("vm-0")
        self.assertEqual({"vm-1"}, choose())
        unusable.add("vm-1")
        self.assertEqual(2, len(choose()))
        self.assertNotIn("vm-1", choose())
        unusable.update(vm.vm_id for vm in vms)
        self.assertEqual(set(), choose())


class DelegatesTests(testtools.TestCase):
    """Dividing shards among the leaders of failure domains."""

    def build(self, reactor):
        own = VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)
        return Delegates(own, reactor, self.list_served_domains)

    def list_served_domains(self, service):
        """Return ``a`` or ``b`` by the number of the shard, and always ``c``."""
        return {"ba"[int(service[1:]) % 2], "c"}

    @run_async
    async def test_narrow_search_is_not_delegated(self):
        """Guards against delegating searches of too few shards to be worth it."""
        async with open_vms() as vms:
            delegates = self.build(vms.reactor)
            services, delegated_shards = delegates.plan(SERVICES[1:], 0.0)
            self.assertEqual(SERVICES[1:], services)
            self.assertEqual((), delegated_shards)

    @run_async
    async def test_leaders_get_all_shards_once_they_answer(self):
        """Guards against shards that no VM queries while leaders start and stop."""
        async with open_vms() as vms:
            delegates = self.build(vms.reactor)
            others = [
                VmInfo(f"vm-{n}", "a", "", vms.vm.search_address, 10.0)
                for n in range(2, 4)
            ]
            own = VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)
            delegates.update([own, *others], ["a"], 0.0)
            services, delegated_shards = delegates.plan(SERVICES, trio.current_time())
            # No leader has answered yet, so this spare VM queries all shards itself.
            self.assertEqual(list(SERVICES), list(services))
            self.assertEqual([], delegated_shards)
            vms.server.start_accepting(trio.current_time())
            delegates.maintain_channels(trio.current_time())
            await wait_for(lambda: delegates.count_usable(trio.current_time()) == 2)
            services, delegated_shards = delegates.plan(SERVICES, trio.current_time())
            self.assertEqual((), services)
            names = [name for _, part in delegated_shards for name in part]
            self.assertEqual(sorted(SERVICES), sorted(names))
            first = delegated_shards[0][0]
            other = delegates.choose_untried([first], trio.current_time())
            self.assertIs(delegated_shards[1][0], other)
            self.assertIsNone(delegates.choose_untried([first, other], 1e9))
            delegates.update([own], ["a"], trio.current_time())
            self.assertEqual(0, delegates.count_usable(trio.current_time()))

    @run_async
    async def test_shards_go_to_a_domain_with_a_target(self):
        """Guards against sending the replies of all shards between domains."""
        async with open_vms() as vms:
            delegates = self.build(vms.reactor)
            own = VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)
            remote = VmInfo("vm-2", "b", "", vms.vm.search_address, 10.0)
            delegates.update([own, remote], ["a", "b"], 0.0)
            services, delegated_shards = delegates.plan(SERVICES, trio.current_time())
            self.assertEqual((list(SERVICES), []), (list(services), delegated_shards))
            vms.server.start_accepting(trio.current_time())
            delegates.maintain_channels(trio.current_time())
            await wait_for(lambda: delegates.count_usable(trio.current_time()) == 1)
            services, ((delegate, names),) = delegates.plan(
                SERVICES, trio.current_time()
            )
            self.assertEqual("vm-2", delegate.vm.vm_id)
            self.assertEqual(set(SERVICES[1::2]), set(services))
            self.assertEqual(set(SERVICES[0::2]), set(names))

    @run_async
    async def test_each_shard_goes_to_a_leader_near_a_target(self):
        """Guards against leaders that ask mostly targets of other domains.

        Load pattern: two targets of each shard, in two of several domains. If one
        domain's leaders asked all shards, each target would be asked by the leaders of
        all domains, none of them often enough to know that it is slow.
        """
        async with open_vms() as vms:
            vms.server.start_accepting(trio.current_time())
            delegates = self.build(vms.reactor)
            fleet = [VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)]
            fleet += [
                VmInfo(f"vm-{domain}", domain, "", vms.vm.search_address, 10.0)
                for domain in "abc"
            ]
            delegates.update(fleet, ["a", "b", "c"], trio.current_time())
            delegates.maintain_channels(trio.current_time())
            await wait_for(lambda: delegates.count_usable(trio.current_time()) == 3)
            _, delegated_shards = delegates.plan(SERVICES, trio.current_time())
            counts = {}
            for delegate, names in delegated_shards:
                counts[delegate.vm.domain] = len(names)
                for name in names:
                    served = self.list_served_domains(name)
                    self.assertIn(delegate.vm.domain, served)
            # The shards without a target in this domain are spread over the others.
            self.assertGreater(counts["b"], len(SERVICES) / 8)
            self.assertGreater(counts["c"], len(SERVICES) / 8)

    def test_hello_names_the_sender(self):
        """Guards against channels that cannot be told apart in a log."""
        hello = decode_message(Hello("vm-9").encode())
        self.assertEqual("vm-9", hello.vm_id)
