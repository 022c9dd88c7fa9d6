"""Assembles the components of one VM's process from its settings and runs them."""

import itertools
import logging
import random
import secrets
import signal
import time

import trio

from . import distribution, peerrequests, views
from .admin import AdminRoutes
from .administration import Administration
from .admission import Admission
from .bookings import Booker
from .budgets import Budgets
from .configuration import Configuration
from .entry import CallerRoutes
from .errors import (
    DomainOutError,
    NoLeaseError,
    NotHolderError,
    Outcome,
    ProtocolError,
    TarragonchuteError,
)
from .holders import Holder
from .httpio import HttpResponse, ServerOptions, bind_listeners, serve_http
from .links import TcpLinks
from .logs import TraceBuffer, bind_request
from .membership import HEARTBEAT_PERIOD_S, SKEW_S, Membership, normalize_groups
from .memory import MemoryAccount, MemoryLimits, Source
from .messages import Heartbeat, ShardAnswers, ShardCancel, ShardGroup
from .metrics import FIRST, HEDGE, RETRY, Metrics
from .orders import BookingSender
from .placement import HeldTargets
from .routing import Router
from .searches import Searcher, subtract_merge_reserve
from .snapshots import SnapshotChooser
from .store import HttpStore, InstrumentedStore
from .targets import HttpTargetClient
from .timers import TimerService
from .vmlist import HttpVmList

logger = logging.getLogger(__name__)

INCARNATION_BYTES = 8
MAINTENANCE_PERIOD_S = 0.1
DRAIN_GRACE_S = 1.0
"""Time for the platform's load balancer to notice the failing health check."""

DRAIN_POLL_INTERVAL_S = 0.05

OVERLOAD_REFUSAL_FRACTION = 0.05
"""Fraction of a search's shards that holders may refuse for their load; a search with
more refusals makes admission lower its limit."""


class VmComponents:
    """The components of one VM's process, wired to each other.

    Also dispatches messages from other VMs, implements the interface that
    `entry.CallerRoutes` calls, and is the `holdercore.Permission` of the holder.

    Parameters
    ----------
    settings : settings.VmSettings
    store : store.Store
    vm_list : vmlist.VmList
    create_client : callable
        Receives `TargetSettings` and the maximum number of connections; returns a
        `TargetClient`.

    Attributes
    ----------
    is_draining : bool
        Whether this VM is leaving the members before it stops.
    is_closed : bool
        Whether new requests of callers are rejected, because the drain has ended.
    """

    def __init__(self, settings, store, vm_list, create_client):
        self.settings = settings
        self.vm_id = settings.vm_id
        self.is_draining = False
        self.is_closed = False
        self.holders_by_target = {}
        self.own_targets = HeldTargets(self.vm_id)
        self._domains_out_of_service = set()
        self._groups = []
        self._clock_offset = time.time() - trio.current_time()
        self.timers = TimerService(trio.current_time())
        self.traces = TraceBuffer()
        self.metrics = Metrics(self._fill_gauges)
        self.store = InstrumentedStore(store, self.metrics.count_store_call)
        self.link = TcpLinks(self.vm_id, self.handle_envelope, self._handle_peer_loss)
        self._build_control_plane(settings, vm_list)
        self._build_data_plane(create_client)
        self._handlers = self._list_handlers()

    def _build_control_plane(self, settings, vm_list):
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.membership = Membership(
            self.vm_id, incarnation, settings.peer_address, settings.domain
        )
        self.configuration = Configuration()
        self.settings_sync = distribution.SettingsSynchronizer(
            self.configuration,
            self.membership,
            self.store,
            self.link,
            self._apply_settings,
            self._observe_revision,
            self._get_known_revision,
        )
        self.views = views.ViewSynchronizer(
            settings.cell,
            self.membership,
            self.store,
            vm_list,
            self.link,
            lambda: self._groups,
            self._is_own_domain_in_service,
            self._apply_view,
            self._observe_revision,
            self._get_known_revision,
            settings.peers,
        )

    def _build_data_plane(self, create_client):
        message_numbers = itertools.count(1)
        rng = random.Random()
        snapshot_chooser = SnapshotChooser()
        self.snapshot_chooser = snapshot_chooser
        self.router = Router(self.holders_by_target.get, rng)
        budgets = Budgets()
        self.admission = Admission(self.settings_sync.tree.fleet.max_in_flight)
        self.searcher = Searcher(
            self.link,
            snapshot_chooser,
            self.router,
            budgets,
            message_numbers,
            self._count_attempts,
        )
        self.booking_sender = BookingSender(
            self.link, snapshot_chooser, self.router, budgets, message_numbers
        )
        self.booker = Booker(
            self.vm_id, self.store, self.booking_sender, self._list_members
        )
        self.holder = Holder(
            self,
            self.link,
            create_client,
            observe_exchange=self.metrics.count_target_request,
        )
        self.administration = Administration(self)
        topics = self.administration.list_topics()
        self.peer_requests = peerrequests.PeerRequests(
            self.link, message_numbers, topics
        )

    # Messages from other VMs.

    def handle_envelope(self, envelope):
        """Dispatch one envelope to the handler of its kind.

        An exception in a handler is logged and does not end the process.

        Raises
        ------
        ProtocolError
            If the message is malformed; the caller closes the connection.
        """
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            logger.warning(
                "received a message of unknown kind %r from %s",
                envelope.kind,
                envelope.sender,
            )
            return
        try:
            handler(envelope)
        except ProtocolError:
            raise
        except Exception:
            logger.exception("failed to handle a message of kind %r", envelope.kind)

    def _list_handlers(self):
        return {
            Heartbeat.KIND: self._handle_heartbeat,
            ShardGroup.KIND: self._handle_shard_group,
            ShardCancel.KIND: self.holder.handle,
            ShardAnswers.KIND: self._handle_shard_answers,
            views.VIEW_PULL: lambda envelope: self.views.handle_pull(envelope.sender),
            views.VIEW: lambda envelope: self.views.handle_view(
                envelope.body, trio.current_time()
            ),
            distribution.SETTINGS_PULL: lambda envelope: self.settings_sync.handle_pull(
                envelope.sender, envelope.body
            ),
            distribution.SETTINGS_PUSH: lambda envelope: (
                self.settings_sync.handle_settings(
                    envelope.sender, envelope.body, trio.current_time()
                )
            ),
            distribution.SETTINGS_ACK: lambda envelope: self.settings_sync.handle_ack(
                envelope.sender, envelope.body
            ),
            peerrequests.PEER_REQUEST: lambda envelope: (
                self.peer_requests.handle_request(
                    envelope.sender, envelope.number, envelope.body
                )
            ),
            peerrequests.PEER_ANSWER: lambda envelope: self.peer_requests.handle_answer(
                envelope.sender, envelope.number, envelope.body
            ),
        }

    def _handle_heartbeat(self, envelope):
        heartbeat = Heartbeat.from_body(envelope.body)
        now = trio.current_time()
        self.membership.handle_heartbeat(envelope.sender, heartbeat, now)
        self.booker.observe_peer_revision(heartbeat.store_revision)
        self.settings_sync.request_newer_settings(now)
        self.views.request_newer_view()

    def _handle_shard_group(self, envelope):
        group = ShardGroup.from_body(envelope.body)
        self.traces.add(
            group.request_id,
            trio.current_time(),
            "shard_group_received",
            entry=envelope.sender,
            shards=len(group.items),
        )
        if logger.isEnabledFor(logging.DEBUG):
            logger.debug(
                "received %d shard requests from %s",
                len(group.items),
                envelope.sender,
                extra={"request_id": group.request_id},
            )
        self.holder.submit(envelope.sender, envelope.number, group)

    def _handle_shard_answers(self, envelope):
        answers = ShardAnswers.from_body(envelope.body)
        arguments = envelope.sender, envelope.number, answers
        if not self.searcher.handle_answers(*arguments):
            self.booking_sender.handle_answers(*arguments)

    def _handle_peer_loss(self, vm_id):
        self.searcher.handle_holder_lost(vm_id)
        self.booking_sender.handle_holder_lost(vm_id)

    # Application of new settings and views.

    def _apply_settings(self):
        tree = self.settings_sync.tree
        self.snapshot_chooser.set_tree(tree)
        self.router.set_tree(tree)
        self.admission.set_tree(tree)
        self._apply_domains(tree)
        self._apply_targets()
        self._groups = normalize_groups(_list_replica_groups(tree))

    def _apply_domains(self, tree):
        domains_out_of_service = {
            name
            for name, is_in_service in tree.fleet.domains.items()
            if not is_in_service
        }
        for name in domains_out_of_service - self._domains_out_of_service:
            logger.info("failure domain %s is out of service", name)
            self.holder.set_domain_out(name)
        for name in self._domains_out_of_service - domains_out_of_service:
            logger.info("failure domain %s is back in service", name)
            self.holder.set_domain_in(name)
        self._domains_out_of_service = domains_out_of_service

    def _apply_view(self, now):
        membership = self.membership
        view = membership.view
        self.holders_by_target.clear()
        self.holders_by_target.update(view.holders)
        self.own_targets.update(
            view.holders, view.epoch, membership.is_direct_successor
        )
        if not membership.is_active:
            # Such a VM may not hold targets, whatever holders the view lists.
            self.own_targets.gained_epochs.clear()
        self._apply_targets()
        self.settings_sync.handle_view_change(now)
        # The new holders wait for this VM to report that its requests have ended.
        self.send_heartbeats(now)

    def _apply_targets(self):
        targets = self.settings_sync.tree.list_targets()
        held_settings = [
            targets[name] for name in self.own_targets.gained_epochs if name in targets
        ]
        self.holder.set_targets(held_settings, self.membership.epoch)
        for row in self.holder.core.list_rows():
            row.gained_epoch = self.own_targets.gained_epochs[row.target_id]

    def _is_own_domain_in_service(self):
        return self.settings_sync.tree.is_domain_in_service(self.settings.domain)

    def _list_members(self):
        view = self.membership.view
        return list(view.members) if view else [self.vm_id]

    def _observe_revision(self, revision, revision_when_sent):
        self.booker.observe_store_revision(revision, revision_when_sent)

    def _get_known_revision(self):
        return self.booker.heartbeat_revision

    # The `Permission` interface of the holder.

    def check_target(self, target_id, now):
        """Raise an error unless this VM may send to the target; see `Permission`."""
        gained_epoch = self.own_targets.gained_epochs.get(target_id)
        if gained_epoch is None:
            raise NotHolderError(f"{self.vm_id} does not hold {target_id}")
        if not self.membership.has_lease(now):
            raise NoLeaseError("this VM holds no valid lease")
        if not self.membership.may_serve(gained_epoch, now):
            raise NotHolderError(
                f"the handover of {target_id} to this VM is not complete"
            )
        row = self.holder.core.get_row(target_id)
        if row is not None and row.domain in self._domains_out_of_service:
            raise DomainOutError(f"failure domain {row.domain} is out of service")

    # Timers.

    def subscribe(self):
        """Schedule heartbeats and maintenance with the timer service."""
        self.timers.subscribe("heartbeat", HEARTBEAT_PERIOD_S, self.send_heartbeats)
        self.timers.subscribe("upkeep", MAINTENANCE_PERIOD_S, self._run_maintenance)

    def send_heartbeats(self, now):
        """Send heartbeats to all members."""
        self._check_clock(now)
        self.membership.store_revision = self.booker.heartbeat_revision
        self.views.send_heartbeats(now)

    def _check_clock(self, now):
        """Drop the lease if the wall clock moved ahead of the monotonic clock.

        The monotonic clock stops while a VM is suspended, so that a lease measured
        by it would outlast its real term.
        """
        offset = time.time() - now
        if offset - self._clock_offset > SKEW_S:
            logger.warning("the wall clock ran ahead; lease dropped")
            self.membership.drop_grants()
        self._clock_offset = offset

    def _run_maintenance(self, now):
        membership = self.membership
        may_report_release = self.own_targets.may_report_release(
            self.holder.core.list_in_flight()
        )
        if may_report_release and membership.released_epoch < membership.epoch:
            membership.record_release(membership.epoch, now)
            self.send_heartbeats(now)
        self.settings_sync.request_newer_settings(now)
        self.views.request_newer_view()

    # The service interface of `entry.CallerRoutes`.

    @property
    def tree(self):
        """The settings in force."""
        return self.settings_sync.tree

    def find_unready_reason(self):
        """Return why the load balancer should skip this VM, or None if it is ready."""
        if self.is_draining:
            return "draining"
        if not self.settings_sync.is_loaded:
            return "no_settings"
        if not self.membership.has_lease(trio.current_time()):
            return NoLeaseError.code
        if not self._is_own_domain_in_service():
            return DomainOutError.code
        return None

    async def search(self, search, request_id):
        """Run a validated `entry.SearchRequest` and return its `SearchResult`."""
        team, dataset = search.team.name, search.dataset.name
        deadline_s = search.deadline_ms / 1000
        with bind_request(request_id):
            started_at = self._start_request(request_id, "search", team, dataset)
            code, coverage, load_refusals = "cancelled", None, 0
            try:
                result = await self.searcher.search(
                    team,
                    dataset,
                    search.query,
                    deadline_s,
                    search.least_coverage,
                    request_id,
                )
                code, coverage = "ok", result.coverage
                load_refusals = result.load_refusals
                return result
            except TarragonchuteError as error:
                code = error.code
                coverage = getattr(error, "coverage", None)
                load_refusals = getattr(error, "load_refusals", 0)
                raise
            finally:
                total = coverage.total if coverage else 0
                is_overloaded = load_refusals > OVERLOAD_REFUSAL_FRACTION * total
                seconds = self._end_request(
                    request_id, team, code, started_at, deadline_s, is_overloaded
                )
                counts = (coverage.answered, coverage.total) if coverage else (0, 0)
                self.metrics.observe_search(team, seconds, code, *counts)
                logger.info(
                    "search in %s: %s in %.1f ms", dataset, code, seconds * 1000
                )

    async def book(self, booking, request_id):
        """Run a validated `entry.BookingRequest` and return the target's result."""
        team, dataset = booking.team.name, booking.dataset.name
        deadline_s = booking.deadline_ms / 1000
        with bind_request(request_id):
            started_at = self._start_request(request_id, "booking", team, dataset)
            code = "cancelled"
            try:
                result = await self.booker.book(
                    team,
                    booking.key,
                    dataset,
                    booking.shard,
                    booking.order,
                    deadline_s,
                    request_id,
                )
                code = "ok"
                return result
            except TarragonchuteError as error:
                code = error.code
                raise
            finally:
                seconds = self._end_request(
                    request_id, team, code, started_at, deadline_s
                )
                self.metrics.observe_booking(team, seconds, code)
                logger.info(
                    "booking in %s: %s in %.1f ms", dataset, code, seconds * 1000
                )

    def _start_request(self, request_id, name, team, dataset):
        now = trio.current_time()
        if not self.membership.has_lease(now):
            raise NoLeaseError("this VM has no lease from a majority of the members")
        self.admission.admit(team, now)
        self.traces.add(request_id, now, name, time.time(), team=team, dataset=dataset)
        return now

    def _end_request(
        self, request_id, team, code, started_at, deadline_s, is_overloaded=False
    ):
        now = trio.current_time()
        seconds = now - started_at
        # A search that lacks a shard returns its partial answer when only the merge
        # reserve is left. That is a lost shard, not overload, and must not lower the
        # admission limit, so a request is late only past the middle of that reserve.
        is_late = seconds > (subtract_merge_reserve(deadline_s) + deadline_s) / 2
        self.admission.release(team, is_late, is_overloaded, now)
        self.traces.finish(request_id, now, code)
        return seconds

    def record_refusal(self, request_id, error):
        """Count a request refused before any part of it ran; ignore other errors."""
        if error.outcome is Outcome.NOT_RUN:
            self.metrics.count_refusal(error.code)

    def _count_attempts(self, run):
        self.metrics.count_attempts(FIRST, run.first_attempts)
        self.metrics.count_attempts(HEDGE, run.hedges)
        self.metrics.count_attempts(RETRY, run.extra_attempts - run.hedges)

    def render_metrics(self):
        """Render /metrics and return the body and its content type."""
        return self.metrics.render_metrics()

    def describe_targets(self):
        """Return id, state, limit and requests in flight of each held target."""
        rows = self.holder.core.list_rows()
        return [[r.target_id, str(r.state), r.limit, r.in_flight] for r in rows]

    def is_idle(self):
        """Whether no request is in flight and every booking's outcome is recorded."""
        core = self.holder.core
        return not (
            self.booker.open_bookings
            or self.booker.pending_writes
            or any(row.in_flight for row in core.list_rows())
            or core.list_removed_in_flight()
        )

    def _fill_gauges(self, values):
        now = trio.current_time()
        membership = self.membership
        values.settings_versions = self.configuration.version_vector()
        values.settings_ages_s = self.settings_sync.get_ages(now)
        values.held_targets = len(self.own_targets.gained_epochs)
        values.lease_remaining_s = max(membership.lease_until(now) - now, 0.0)
        values.view_epoch = membership.view.number if membership.view else 0
        values.view_members = len(membership.view.members) if membership.view else 0
        values.in_flight = self.admission.in_flight
        values.admission_limit = self.admission.limit


class Node:
    """The process of one VM, which runs until a signal drains it.

    Parameters
    ----------
    settings : settings.VmSettings
    """

    def __init__(self, settings):
        self._settings = settings
        self._components = None
        self._shutdown = None
        # Shared by the servers for callers and for operators.
        self._memory = MemoryAccount(MemoryLimits.from_process())

    async def run(self):
        """Serve until SIGTERM or SIGINT, then drain and finish requests in flight.

        Raises
        ------
        PortInUseError
            If a listening address is already in use.
        """
        settings = self._settings
        self._shutdown = trio.Event()
        caller_listeners = await bind_listeners(settings.caller_address)
        peer_listeners = await bind_listeners(settings.peer_address)
        admin_listeners = await bind_listeners(settings.admin_address)
        components = self._components = _build_components(settings)
        async with trio.open_nursery() as background:
            background.start_soon(components.link.run, peer_listeners)
            background.start_soon(self._serve_admin, admin_listeners)
            await background.start(components.holder.run, components.timers)
            await background.start(components.booker.run)
            components.subscribe()
            background.start_soon(components.timers.run)
            background.start_soon(components.settings_sync.run)
            background.start_soon(components.views.run)
            background.start_soon(self._drain_on_signal)
            logger.info("serving callers on %s", settings.caller_address)
            routes = CallerRoutes(components)
            options = ServerOptions(cancel_on_disconnect=True, memory=self._memory)
            await serve_http(routes.handle, caller_listeners, options, self._shutdown)
            await self._wait_until_idle()
            background.cancel_scope.cancel()
        logger.info("stopped")

    async def _serve_admin(self, listeners):
        routes = AdminRoutes(
            self._components.administration,
            HttpResponse.from_json,
            self._settings.bootstrap_token_sha256,
        )
        options = ServerOptions(memory=self._memory, source=Source.INTERNAL)
        await serve_http(routes.handle, listeners, options)

    async def _drain_on_signal(self):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                logger.info("draining after %s", signal.Signals(number).name)
                break
            await self._drain()

    async def _drain(self):
        """Leave the view while still serving callers, then stop listening.

        Waits at most `drain_timeout_s` for the view change.
        """
        components = self._components
        components.is_draining = True
        components.views.is_draining = True
        timeout_s = self._settings.drain_timeout_s
        with trio.move_on_after(timeout_s) as scope:
            await trio.sleep(DRAIN_GRACE_S)
            await components.timers.wait_until(
                "leave",
                DRAIN_POLL_INTERVAL_S,
                lambda: not components.membership.is_member,
            )
        if scope.cancelled_caught:
            logger.warning("still a member after %.1f s of draining", timeout_s)
        components.is_closed = True
        self._shutdown.set()

    async def _wait_until_idle(self):
        """Wait until bookings and shard requests of other VMs have ended.

        Waits at most `drain_timeout_s`.
        """
        components = self._components
        with trio.move_on_after(self._settings.drain_timeout_s) as scope:
            await components.timers.wait_until(
                "finish", DRAIN_POLL_INTERVAL_S, components.is_idle
            )
        if scope.cancelled_caught:
            logger.error("stopped with work in flight or outcomes not recorded")


def _list_replica_groups(tree):
    """Return the replica groups of all layouts, and a group for each single target."""
    groups = []
    for dataset in tree.datasets.values():
        for layout in dataset.layouts.values():
            groups += layout.values()
        groups += [[name] for name in dataset.targets]
    return groups


def _build_components(settings):
    def create_client(target, max_connections):
        return HttpTargetClient(target.target_id, target.address, max_connections)

    store = HttpStore(settings.store_address)
    vm_list = HttpVmList(settings.vm_list_address)
    return VmComponents(settings, store, vm_list, create_client)


def run_vm(settings):
    """Run one VM's process until a signal has drained it.

    Parameters
    ----------
    settings : settings.VmSettings

    Raises
    ------
    PortInUseError
        If a listening address is already in use.
    """
    trio.run(Node(settings).run)
