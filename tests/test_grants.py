"""Tests of granting tokens, and of the messages and channels for it."""

import random
import socket

import testtools
import trio
import trio.lowlevel

from tarragonchute import errors
from tarragonchute.channels import Channel, ChannelListener
from tarragonchute.customers import Customer
from tarragonchute.fleet import TRUSTED_CONTACT_S, Fleet, KeyLease, VmInfo
from tarragonchute.gateway import Gateway
from tarragonchute.gatewaymetrics import GatewayMetrics
from tarragonchute.grantlinks import SUSPECT_MIN_S, build_allowances
from tarragonchute.grantmessages import Answer, Ask, decode_grant_message
from tarragonchute.grantroles import (
    CONTINUE_S,
    EXPIRED_HANDOVER_S,
    HANDOVER_S,
    RELIST_S,
    RoleTable,
)
from tarragonchute.grants import TOKEN_LEASE_S, AllowanceBounds, GrantBook, TokenBucket
from tarragonchute.httpio import ServerOptions
from tarragonchute.leaders import hash_to_fraction
from tarragonchute.platform import decoding
from tarragonchute.platform.names import HEADER_NAMES
from tarragonchute.subsearches import Hello

from .allowancefleet import BOUNDS
from .test_channels import RecordingOwner, open_reactor, wait_for
from .test_customers import build_configuration_with_customers, build_request
from .test_gateway import build_settings
from .trial import run_async, run_in_virtual_time

ADDRESS = "127.0.0.1:1"
CUSTOMER = Customer("c", 10.0, 20.0)


def build_ask(wanted=1, is_for_deputy=False, sender_id="other", returned=0):
    """Return an ask of another VM for `CUSTOMER`."""
    return Ask(
        1, sender_id, "c", 1, 10.0, 20.0, is_for_deputy, wanted, returned, 1.0, 0
    )


def build_vms(count):
    """Return VMs of one failure domain, the first candidate of `CUSTOMER` first."""
    vms = [VmInfo(f"vm{n}", "d", "", ADDRESS, 1.0, True) for n in range(count)]
    return sorted(vms, key=lambda vm: -hash_to_fraction(f"c {vm.vm_id}"))


class TokenBucketTests(testtools.TestCase):
    """How many tokens a bucket gives out."""

    def test_tokens_in_advance_count_until_their_lease_ends(self):
        """Guards against a full bucket beside tokens that VMs still hold."""
        bucket = TokenBucket(10.0, 20.0, 20.0, 2.0, 0.0)
        self.assertEqual((1 + 8, TOKEN_LEASE_S), bucket.take("a", 1, 8, 0.0))
        self.assertEqual(20 - 8, bucket.refill(1.9))
        self.assertEqual(20, bucket.refill(TOKEN_LEASE_S + 1.0))

    def test_single_spares_do_not_use_up_the_burst(self):
        """Guards against a burst that is lost to VMs that do not use their spares."""
        bucket = TokenBucket(10.0, 22.0, 22.0, 2.0, 0.0)
        granted = [bucket.take(f"vm{n}", 1, 0, 0.0)[0] for n in range(20)]
        self.assertEqual([2, 2] + [1] * 18, granted)

    def test_returned_tokens_do_not_exceed_the_capacity(self):
        """Guards against a bucket that grows by tokens that another one granted."""
        bucket = TokenBucket(10.0, 20.0, 5.0, 0.0, 0.0)
        bucket.put_back(3, 0.0)
        self.assertEqual(8, bucket.refill(0.0))
        bucket.put_back(1000, 0.0)
        self.assertEqual(20, bucket.refill(0.0))


class GrantBookTests(testtools.TestCase):
    """When a VM grants as grantor or as deputy."""

    def build(self, rank=0, since=-1e9):
        self.vms = build_vms(3)
        own = self.vms[rank]
        self.key_lease = KeyLease(valid_until=1e9, since=since)
        self.roles = RoleTable(own.vm_id, self.key_lease)
        self.roles.set_vms(self.vms, 0.0)
        book = GrantBook(own.vm_id, "d", BOUNDS, self.roles, random.Random(1))
        book.set_limits("c", 1, 10.0, 20.0, 0.0)
        return book

    def test_restarted_grantor_begins_with_the_first_tokens(self):
        """Guards against a burst with each restart, and against none at all."""
        answer = self.build().answer(build_ask(100), 0.0)
        self.assertEqual(int(0.25 * BOUNDS.compute_excess(10.0, 20.0)), answer.granted)
        self.assertGreater(answer.hold_s, 0)

    def test_idle_grantor_has_the_burst_for_the_first_ask(self):
        """Guards against a bucket that begins to fill with the first ask."""
        self.assertGreaterEqual(self.build().answer(build_ask(20), 5.0).granted, 20)

    def test_new_vm_waits_before_it_grants(self):
        """Guards against two grantors while the lists of other VMs are older."""
        book = self.build(since=10.0)
        self.assertTrue(book.answer(build_ask(), 10.0 + HANDOVER_S - 0.1).is_declined)
        self.assertFalse(book.answer(build_ask(), 10.0 + HANDOVER_S).is_declined)

    def test_grantor_continues_when_another_vm_becomes_first(self):
        """Guards against a gap, and against two grantors after it."""
        book = self.build(rank=1)
        self.roles.set_vms(self.vms[1:], 20.0)
        book.answer(build_ask(), 20.0 + HANDOVER_S)
        self.roles.set_vms(self.vms, 40.0)
        self.assertFalse(book.answer(build_ask(), 40.0).is_declined)
        answer = book.answer(build_ask(), 40.0 + CONTINUE_S)
        self.assertTrue(answer.is_declined)

    def test_vm_that_waits_does_not_continue(self):
        """Guards against a grantor that never had authority."""
        book = self.build(rank=1)
        self.roles.set_vms(self.vms[1:], 20.0)
        self.roles.set_vms(self.vms, 21.0)
        self.assertTrue(book.answer(build_ask(), 21.0).is_declined)

    def test_vms_that_cannot_be_asked_have_no_role(self):
        """Guards against refusals while some VMs have an earlier version."""
        self.build()
        older = [VmInfo(vm.vm_id, "d", "", ADDRESS) for vm in self.vms[:2]]
        self.roles.set_vms([*older, self.vms[2]], 20.0)
        self.assertEqual(self.vms[2].vm_id, self.roles.get("c", 20.0).grantor_id)

    def test_grantor_without_lease_declines(self):
        """Guards against grants of a VM that others no longer list."""
        book = self.build()
        self.key_lease.is_missing = True
        self.assertTrue(book.answer(build_ask(), 1.0).is_declined)
        self.key_lease.is_missing = False
        self.assertTrue(book.answer(build_ask(), 1e9).is_declined)

    def test_relay_that_answers_keeps_the_authority(self):
        """Guards against refusals while the store turns only the grantor away."""
        book = self.build()
        self.key_lease.valid_until = 5.0
        for now in range(10):
            self.key_lease.confirm(now, now)
            self.assertFalse(book.answer(build_ask(), now + 0.5).is_declined, now)
        after_gap = 9 + TRUSTED_CONTACT_S
        self.assertTrue(book.answer(build_ask(), after_gap).is_declined)
        self.key_lease.confirm(20.0, 20.0)
        self.assertTrue(book.answer(build_ask(), 20.0).is_declined)
        for now in range(21, 24):
            self.key_lease.confirm(now, now)
        self.assertFalse(book.answer(build_ask(), 20.0 + RELIST_S).is_declined)

    def test_contact_without_a_key_gives_no_authority(self):
        """Guards against grants of a VM that has not registered yet."""
        key_lease = KeyLease()
        key_lease.confirm(10.0, 10.0)
        self.assertFalse(key_lease.is_valid(10.0))

    def test_successor_of_an_expired_key_waits_less(self):
        """Guards against seconds without a grantor after a VM was lost."""
        book = self.build(rank=1)
        self.roles.get("c", 0.0)
        self.roles.set_vms(self.vms[1:], 20.0)
        before = 20.0 + EXPIRED_HANDOVER_S - 0.1
        self.assertTrue(book.answer(build_ask(), before).is_declined)
        after = 20.0 + EXPIRED_HANDOVER_S
        self.assertFalse(book.answer(build_ask(), after).is_declined)

    def test_deputy_grants_only_its_part(self):
        """Guards against a deputy that grants a whole allowance."""
        book = self.build(rank=1)
        part = 0.35 * BOUNDS.compute_excess(10.0, 20.0)
        granted = [
            book.answer(build_ask(is_for_deputy=True), n / 100).granted
            for n in range(int(BOUNDS.window_s * 100))
        ]
        self.assertLessEqual(sum(granted), part)
        self.assertGreater(sum(granted), 0.4 * part)
        self.assertTrue(book.answer(build_ask(), 1.0).is_declined)
        other = self.build(rank=2)
        self.assertTrue(other.answer(build_ask(is_for_deputy=True), 0.0).is_declined)

    def test_malformed_messages_are_rejected(self):
        """Guards against a process that ends because of another VM's message."""
        payload = build_ask(3).encode()
        self.assertEqual(3, decode_grant_message(payload).wanted)
        self.assertTrue(decode_grant_message(Answer(1, True, 0).encode()).is_declined)
        for malformed in (
            b"",
            b"[]",
            b"{}",
            b'["other",1]',
            payload[:-2],
            payload.replace(b"false", b"0"),
            payload.replace(b",3,", b",-3,"),
            payload.replace(b",3,", b",1e999,"),
            payload.replace(b'"c"', b"7"),
            payload.replace(b",3,", b",true,"),
        ):
            self.assertRaises(
                errors.ProtocolError, decode_grant_message, bytes(malformed)
            )


class Vm:
    """A VM with its allowances and its listener, on a shared reactor."""

    def __init__(self, reactor, vm_id, other_owner):
        self.info = VmInfo(vm_id, "d")
        self.fleet = Fleet(self.info)
        self.fleet.key_lease.valid_until = 1e9
        self.fleet.key_lease.since = -1e9
        other_owner.get_pause_s = lambda now: 0.0
        self.allowances, owner = build_allowances(
            BOUNDS, self.fleet, reactor, other_owner, GatewayMetrics()
        )
        self.listener = ChannelListener(reactor, "127.0.0.1:0", owner)
        self.info.search_address = self.listener.address


class GrantLinkTests(testtools.TestCase):
    """Asks and answers over real loopback channels."""

    def start(self, reactor):
        """Return the caller's VM, the grantor, and what else arrives at it."""
        other_owner = RecordingOwner()
        vms = [Vm(reactor, vm.vm_id, other_owner) for vm in build_vms(2)]
        now = trio.current_time()
        for vm in vms:
            vm.allowances.set_vms([vm.info for vm in vms], now)
            vm.allowances.apply_customers([CUSTOMER], 1, now)
        return vms[1], vms[0], other_owner

    @run_async
    async def test_token_is_granted_over_a_channel(self):
        """Guards against a break on the way to the grantor and back."""
        async with open_reactor() as reactor:
            caller, _, _ = self.start(reactor)
            for _ in range(3):
                await caller.allowances.acquire(CUSTOMER, 1.0, trio.current_time())

    @run_async
    async def test_subsearches_share_the_listener(self):
        """Guards against channels for subsearches that reach the wrong owner."""
        async with open_reactor() as reactor:
            caller, grantor, other_owner = self.start(reactor)
            address = grantor.listener.address
            channel = Channel.open(reactor, address, RecordingOwner())
            payloads = [Hello("vm").encode(), Hello("vm2").encode()]
            for payload in payloads:
                channel.send(payload, trio.current_time())
            await caller.allowances.acquire(CUSTOMER, 1.0, trio.current_time())
            await wait_for(lambda: len(other_owner.payloads) == 2)
            self.assertEqual(payloads, other_owner.payloads)
            channel.close()
            await wait_for(lambda: other_owner.closes)

    @run_async
    async def test_grantor_that_does_not_listen_is_left_at_once(self):
        """Guards against a wait for a VM that has ended."""
        async with open_reactor() as reactor:
            caller, grantor, _ = self.start(reactor)
            grantor.listener.close()
            started_at = trio.current_time()
            # The caller's VM is the deputy of the failure domain.
            await caller.allowances.acquire(CUSTOMER, 40.0, started_at)
            self.assertLess(trio.current_time() - started_at, 10.0)

    @run_async
    async def test_grantor_that_does_not_answer_is_suspected(self):
        """Guards against a time-out for each request."""
        async with open_reactor() as reactor:
            caller, grantor, _ = self.start(reactor)
            grantor.listener.close()
            host, port = grantor.listener.address.split(":")
            with socket.create_server((host, int(port))):
                started_at = trio.current_time()
                for _ in range(2):
                    await caller.allowances.acquire(CUSTOMER, 0.4, trio.current_time())
                elapsed_s = trio.current_time() - started_at
            self.assertGreaterEqual(elapsed_s, 0.1)
            self.assertLess(elapsed_s, 0.1 + SUSPECT_MIN_S)

    @run_async
    async def test_caller_that_leaves_hands_its_token_on(self):
        """Guards against tokens that are lost, and waiters that wait for ever."""
        async with open_reactor() as reactor:
            caller, _, _ = self.start(reactor)
            allowances = caller.allowances
            async with trio.open_nursery() as nursery:
                for _ in range(3):
                    now = trio.current_time()
                    nursery.start_soon(allowances.acquire, CUSTOMER, 1.0, now)
                await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
            with trio.fail_after(5):
                await allowances.acquire(CUSTOMER, 1.0, trio.current_time())


class GatewayAllowanceTests(testtools.TestCase):
    """Where a gateway asks for the allowance of a caller's customer."""

    def build(self, bounds):
        settings = build_settings()
        settings.allowance_bounds = bounds
        gateway = Gateway(settings, HEADER_NAMES, ServerOptions())
        self.addCleanup(gateway.reactor.close)
        self.apply(gateway, 1, {"rate-per-s": 0.1, "burst": 3})
        return gateway

    def apply(self, gateway, version, limits):
        customers = [{"name": "c1", "api-keys": ["k1"], **limits}]
        text = build_configuration_with_customers(version, customers)
        gateway.apply_table(decoding.decode_configuration(text))

    async def call(self, gateway):
        try:
            await gateway.handle(build_request((b"authorization", b"Bearer k1")))
        except errors.TarragonchuteError as error:
            return error
        return None

    @run_in_virtual_time
    async def test_requests_beyond_the_allowance_get_429(self):
        """Guards against a customer that is not limited on a VM of its own."""
        bounds = AllowanceBounds(5.0, 0.1, 4)
        gateway = self.build(bounds)
        gateway._choose_service = lambda route: self.fail("a query was built")
        gateway.allowances.release = lambda customer, now: None
        await trio.sleep(100)
        codes = []
        for _ in range(10):
            try:
                codes.append((await self.call(gateway)).code)
            except AssertionError:
                codes.append("built")
        self.assertEqual(["built"] * 3 + ["allowance_exceeded"] * 7, codes)

    @run_in_virtual_time
    async def test_refused_request_gives_its_token_back(self):
        """Guards against a customer charged for requests that did not run."""
        gateway = self.build(AllowanceBounds(5.0, 0.1, 4))
        for _ in range(20):
            self.assertEqual("no_target", (await self.call(gateway)).code)

    @run_in_virtual_time
    async def test_off_without_settings_or_rate(self):
        """Guards against limits in deployments that do not ask for them."""
        gateway = self.build(None)
        self.assertIs(gateway.shard_server, gateway.channel_owner)
        for _ in range(20):
            self.assertEqual("no_target", (await self.call(gateway)).code)
        for version, limits in enumerate(({}, {"rate-per-s": 0, "burst": 1}), 2):
            gateway = self.build(BOUNDS)
            self.apply(gateway, version, limits)
            gateway.allowances.acquire = None
            self.assertEqual("no_target", (await self.call(gateway)).code)

    @run_in_virtual_time
    async def test_refusals_are_logged_together(self):
        """Guards against a refused customer that floods the log."""
        gateway = self.build(AllowanceBounds(5.0, 0.1, 0))
        gateway.allowances.release = lambda customer, now: None
        with self.assertLogs("tarragonchute", "INFO") as logs:
            for _ in range(200):
                await self.call(gateway)
                gateway.sweep(trio.current_time())
                await trio.sleep(0.01)
        refusals = [line for line in logs.output if "refused by allowance" in line]
        self.assertEqual(1, len(refusals))
        self.assertLess(len(logs.output), 20)
