"""Tests of VMs that hand shards to each other, over real loopback channels."""

import contextlib

import testtools
import trio

from tarragonchute.channels import Channel, ChannelListener
from tarragonchute.delegates import (
    GREETING_TIMEOUT_S,
    SLOW_ACK_S,
    SUSPECT_MIN_S,
    Delegate,
    Delegates,
    DomainLeaders,
)
from tarragonchute.fleet import VmInfo
from tarragonchute.leaders import MIN_WIDE_SEARCH_SHARDS
from tarragonchute.reactor import Reactor
from tarragonchute.replicas import ReplyTimes
from tarragonchute.shardserver import ShardServer
from tarragonchute.subsearches import Cancellation, Hello, decode_message

from .test_channels import RecordingOwner, wait_for
from .test_queries import QueryHarness
from .test_subsearches import build_subsearch
from .trial import run_async

SERVICES = tuple(f"s{number}" for number in range(MIN_WIDE_SEARCH_SHARDS))
SWEEP_S = 0.01


class RecordingShare:
    """Keeps what is told about a subsearch."""

    def __init__(self):
        self.number = 0
        self.is_acknowledged = False
        self.answers = []
        self.lost = []

    def handle_acknowledged(self, now):
        self.is_acknowledged = True

    def handle_answer(self, answer, now):
        self.answers.append(answer)

    def handle_lost(self, reason, now):
        self.lost.append(reason)


class TwoVms:
    """A VM that searches shards, and one that hands them over."""

    def __init__(self, nursery, reactor):
        self.reactor = reactor
        self.bench = QueryHarness(SERVICES)
        self.ended = []
        self.server = ShardServer(
            "vm-2",
            self.bench.context,
            lambda name, goal_s: ReplyTimes(goal_s, 0.1),
            self.ended.append,
        )
        nursery.start_soon(self.server.run)
        self.listener = ChannelListener(reactor, "127.0.0.1:0", self.server)
        self.vm = VmInfo("vm-2", "a", "", self.listener.address, 10.0)
        self.delegate = Delegate(self.vm, "vm-1", reactor)
        nursery.start_soon(self._sweep)

    async def _sweep(self):
        while True:
            self.delegate.sweep(trio.current_time())
            await trio.sleep(SWEEP_S)

    def is_usable(self):
        return self.delegate.is_usable(trio.current_time())

    async def connect(self):
        """Return once the other VM takes subsearches."""
        self.server.start_accepting(trio.current_time())
        await wait_for(self.is_usable)

    def start(self):
        """Hand over two shards and return the share."""
        share = RecordingShare()
        subsearch = build_subsearch()
        self.delegate.start(share, subsearch, trio.current_time())
        return share


@contextlib.asynccontextmanager
async def open_vms():
    """Yield `TwoVms` whose reactor runs."""
    reactor = Reactor()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reactor.run)
        yield TwoVms(nursery, reactor)
        nursery.cancel_scope.cancel()
    reactor.close()


class DelegateTests(testtools.TestCase):
    """One VM as another one sees it."""

    @run_async
    async def test_subsearch_is_acknowledged_and_answered(self):
        """Guards against shards that are asked and whose replies are lost."""
        async with open_vms() as vms:
            await vms.connect()
            share = vms.start()
            await wait_for(lambda: len(vms.bench.started) == 2)
            self.assertEqual([], share.answers)
            for number, exchange in enumerate(vms.bench.started):
                digest = f"d{number}".encode()
                now = trio.current_time()
                vms.bench.reply(exchange, now, digest=digest, body=b"r" * 16)
            await wait_for(lambda: share.answers)
            self.assertTrue(share.is_acknowledged)
            self.assertTrue(share.answers[-1].is_final)
            self.assertEqual([b"d0", b"d1"], share.answers[-1].digests)
            self.assertEqual({}, vms.delegate.open_shares)
            await wait_for(lambda: vms.ended)

    @run_async
    async def test_vm_without_configuration_is_not_used(self):
        """A mass restart: guards against shards at a VM that knows no targets."""
        async with open_vms() as vms:
            await trio.sleep(5 * SWEEP_S)
            self.assertFalse(vms.is_usable())
            await vms.connect()

    @run_async
    async def test_vm_that_stops_is_not_used(self):
        """Restarts in turn: guards against shards that are cut off by a stop."""
        async with open_vms() as vms:
            await vms.connect()
            share = vms.start()
            await wait_for(lambda: share.is_acknowledged)
            vms.server.start_draining(trio.current_time())
            await wait_for(lambda: not vms.is_usable())
            self.assertEqual([], share.lost)

    @run_async
    async def test_cancellation_ends_the_work(self):
        """Guards against targets at work for a caller that has left."""
        async with open_vms() as vms:
            await vms.connect()
            share = vms.start()
            await wait_for(lambda: len(vms.bench.started) == 2)
            vms.delegate.cancel(share.number, trio.current_time())
            await wait_for(lambda: vms.ended)
            pool = vms.bench.started[0].pool
            self.assertEqual([vms.bench.started[0]], pool.abandoned)
            self.assertEqual([], share.answers)

    @run_async
    async def test_lost_channel_ends_the_work_on_both_sides(self):
        """Guards against work for a VM that is gone, and waiting for one."""
        async with open_vms() as vms:
            await vms.connect()
            share = vms.start()
            await wait_for(lambda: len(vms.bench.started) == 2)
            vms.delegate.close(trio.current_time())
            self.assertEqual(["not needed any more"], share.lost)
            await wait_for(lambda: vms.ended)
            await wait_for(vms.is_usable)

    @run_async
    async def test_cancelled_request_that_waited_is_not_run(self):
        """A VM that was paused: guards against work for searches long past."""
        async with open_vms() as vms:
            vms.server.start_accepting(0.0)
            owner = RecordingOwner()
            channel = Channel.open(vms.reactor, vms.vm.search_address, owner)
            subsearch = build_subsearch(number=5)
            now = trio.current_time()
            payloads = [subsearch.encode(), Cancellation(5).encode()]
            vms.server.handle_frames(channel, payloads, now)
            await trio.sleep(5 * SWEEP_S)
            self.assertEqual([], vms.bench.started)

    @run_async
    async def test_silent_vm_must_answer_a_greeting(self):
        """Guards against one search after the other that waits for a silent VM."""
        async with open_vms() as vms:
            await vms.connect()
            now = trio.current_time()
            vms.delegate.note_silent(now)
            self.assertFalse(vms.delegate.is_usable(now))
            await wait_for(vms.is_usable)
            self.assertGreaterEqual(trio.current_time() - now, SUSPECT_MIN_S)

    @run_async
    async def test_channel_that_fell_silent_is_opened_anew(self):
        """Guards against a VM that stays unused behind a dead connection."""
        async with open_vms() as vms:
            await wait_for(lambda: vms.server._waiting_channels)
            (dead,) = vms.server._waiting_channels
            await trio.sleep(GREETING_TIMEOUT_S)
            await wait_for(lambda: vms.server._waiting_channels - {dead})
            await vms.connect()

    @run_async
    async def test_slow_vm_is_passed_over_for_a_while(self):
        """A VM without processor time: guards against searches that wait for it."""
        async with open_vms() as vms:
            await vms.connect()
            now = trio.current_time()
            for _ in range(5):
                vms.delegate.note_acknowledged(2 * SLOW_ACK_S, now)
            self.assertFalse(vms.is_usable())
            self.assertTrue(vms.delegate.is_usable(now + 10.0))


class DomainLeadersTests(testtools.TestCase):
    """Who leads when VMs are lost."""

    def test_leaders_that_are_left_take_over_before_spare_vms(self):
        """A leader without processor time: guards against searches at small VMs."""
        vms = [VmInfo(f"vm-{n}", "a", "", f"10.0.0.1:{n + 1}", 9.0) for n in range(2)]
        vms += [VmInfo(f"vm-{n}", "a", "", f"10.0.0.1:{n + 1}") for n in range(2, 9)]
        group = DomainLeaders(vms)
        lost = set()

        def choose():
            return {vm.vm_id for vm in group.choose(lambda vm: vm.vm_id not in lost)}

        self.assertEqual({"vm-0", "vm-1"}, choose())
        lost.add("vm-0")
        self.assertEqual({"vm-1"}, choose())
        lost.add("vm-1")
        self.assertEqual(2, len(choose()))
        self.assertNotIn("vm-1", choose())
        lost.update(vm.vm_id for vm in vms)
        self.assertEqual(set(), choose())


class DelegatesTests(testtools.TestCase):
    """The choice among the VMs of a failure domain."""

    def build(self, reactor):
        own = VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)
        return Delegates(own, reactor, self.is_served_in)

    def is_served_in(self, service, domain):
        """Odd shards have a replica in domain ``a``."""
        return domain == "a" and int(service[1:]) % 2 == 1

    @run_async
    async def test_narrow_search_is_not_shared(self):
        """Guards against a search of few shards that costs another VM's time."""
        async with open_vms() as vms:
            delegates = self.build(vms.reactor)
            services, handed = delegates.plan(SERVICES[1:], 0.0)
            self.assertEqual(SERVICES[1:], services)
            self.assertEqual((), handed)

    @run_async
    async def test_leaders_take_all_shards_once_they_answer(self):
        """Guards against shards that nobody asks while leaders come and go."""
        async with open_vms() as vms:
            delegates = self.build(vms.reactor)
            others = [
                VmInfo(f"vm-{n}", "a", "", vms.vm.search_address, 10.0)
                for n in range(2, 4)
            ]
            own = VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)
            delegates.update([own, *others], ["a"], 0.0)
            services, handed = delegates.plan(SERVICES, trio.current_time())
            # Nobody answers yet, so this VM, the next in the order, asks them all.
            self.assertEqual(list(SERVICES), list(services))
            self.assertEqual([], handed)
            vms.server.start_accepting(trio.current_time())
            delegates.sweep(trio.current_time())
            await wait_for(lambda: delegates.count_usable(trio.current_time()) == 2)
            services, handed = delegates.plan(SERVICES, trio.current_time())
            self.assertEqual((), services)
            names = [name for _, part in handed for name in part]
            self.assertEqual(sorted(SERVICES), sorted(names))
            first = handed[0][0]
            other = delegates.choose_other([first], trio.current_time())
            self.assertIs(handed[1][0], other)
            self.assertIsNone(delegates.choose_other([first, other], 1e9))
            delegates.update([own], ["a"], trio.current_time())
            self.assertEqual(0, delegates.count_usable(trio.current_time()))

    @run_async
    async def test_shards_go_to_a_domain_with_a_replica(self):
        """Guards against replies of all shards that cross between domains."""
        async with open_vms() as vms:
            delegates = self.build(vms.reactor)
            own = VmInfo("vm-1", "a", "", "127.0.0.1:1", 1.0)
            far = VmInfo("vm-2", "b", "", vms.vm.search_address, 10.0)
            delegates.update([own, far], ["a", "b"], 0.0)
            services, handed = delegates.plan(SERVICES, trio.current_time())
            self.assertEqual((list(SERVICES), []), (list(services), handed))
            vms.server.start_accepting(trio.current_time())
            delegates.sweep(trio.current_time())
            await wait_for(lambda: delegates.count_usable(trio.current_time()) == 1)
            services, ((delegate, names),) = delegates.plan(
                SERVICES, trio.current_time()
            )
            self.assertEqual("vm-2", delegate.vm.vm_id)
            self.assertEqual(set(SERVICES[1::2]), set(services))
            self.assertEqual(set(SERVICES[0::2]), set(names))

    def test_greeting_names_the_sender(self):
        """Guards against channels that nobody can tell apart in a log."""
        greeting = decode_message(Hello("vm-9").encode())
        self.assertEqual("vm-9", greeting.vm_id)
