"""Builds one VM's process from its settings and runs it."""

import itertools
import logging
import random
import secrets
import signal
import time

import trio

from . import distribution as settings_exchange, peerrequests, views
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
UPKEEP_PERIOD_S = 0.1
DRAIN_GRACE_S = 1.0
"""Time for the platform's load balancer to see the failing health check."""

DRAIN_POLL_S = 0.05

OVERLOADED_SHARE = 0.05
"""Part of a search's shards that holders may refuse before it counts as overload."""


class Parts:
    """The parts of one VM's process, and how they are connected.

    Parameters
    ----------
    settings : settings.VmSettings
    store : store.Store
    vm_list : vmlist.VmList
    create_client : callable
        Takes `TargetSettings` and a number of connections; returns a
        `TargetClient`.
    """

    def __init__(self, settings, store, vm_list, create_client):
        self.settings = settings
        self.vm_id = settings.vm_id
        self.is_draining = False
        self.is_closed = False
        self.holders_by_target = {}
        self.held = HeldTargets(self.vm_id)
        self._domains_out = set()
        self._groups = []
        self._clock_offset = time.time() - trio.current_time()
        self.timers = TimerService(trio.current_time())
        self.traces = TraceBuffer()
        self.metrics = Metrics(self._fill_gauges)
        self.store = InstrumentedStore(store, self.metrics.count_store_call)
        self.link = TcpLinks(self.vm_id, self.handle, self._handle_lost)
        self._build_control(settings, vm_list)
        self._build_work(create_client)
        self._handlers = self._list_handlers()

    def _build_control(self, settings, vm_list):
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.membership = Membership(
            self.vm_id, incarnation, settings.peer_address, settings.domain
        )
        self.configuration = Configuration()
        self.distribution = settings_exchange.Distribution(
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
            self._is_own_domain_in,
            self._apply_view,
            self._observe_revision,
            self._get_known_revision,
            settings.peers,
        )

    def _build_work(self, create_client):
        numbers = itertools.count(1)
        source = random.Random()
        chooser = SnapshotChooser()
        self.chooser = chooser
        self.router = Router(self.holders_by_target.get, source)
        budgets = Budgets()
        self.admission = Admission(self.distribution.tree.fleet.max_in_flight)
        self.searcher = Searcher(
            self.link, chooser, self.router, budgets, numbers, self._count_attempts
        )
        self.sender = BookingSender(self.link, chooser, self.router, budgets, numbers)
        self.booker = Booker(self.vm_id, self.store, self.sender, self._list_members)
        self.holder = Holder(
            self,
            self.link,
            create_client,
            observe_exchange=self.metrics.count_target_request,
        )
        self.administration = Administration(self)
        topics = self.administration.list_topics()
        self.peer_requests = peerrequests.PeerRequests(self.link, numbers, topics)

    # Messages from other VMs.

    def handle(self, envelope):
        """Take one envelope; a fault in it must not end the process."""
        handler = self._handlers.get(envelope.kind)
        if handler is None:
            logger.warning("unknown message %r of %s", envelope.kind, envelope.sender)
            return
        try:
            handler(envelope)
        except ProtocolError:
            raise
        except Exception:
            logger.exception("message %r failed", envelope.kind)

    def _list_handlers(self):
        return {
            Heartbeat.KIND: self._handle_heartbeat,
            ShardGroup.KIND: self._handle_group,
            ShardCancel.KIND: self.holder.handle,
            ShardAnswers.KIND: self._handle_answers,
            views.VIEW_PULL: lambda e: self.views.handle_pull(e.sender),
            views.VIEW: lambda e: self.views.handle_view(e.body, trio.current_time()),
            settings_exchange.SETTINGS_PULL: lambda e: self.distribution.handle_pull(
                e.sender, e.body
            ),
            settings_exchange.SETTINGS: lambda e: self.distribution.handle_settings(
                e.sender, e.body, trio.current_time()
            ),
            settings_exchange.SETTINGS_ACK: lambda e: self.distribution.handle_ack(
                e.sender, e.body
            ),
            peerrequests.PEER_REQUEST: lambda e: self.peer_requests.handle_request(
                e.sender, e.number, e.body
            ),
            peerrequests.PEER_ANSWER: lambda e: self.peer_requests.handle_answer(
                e.sender, e.number, e.body
            ),
        }

    def _handle_heartbeat(self, envelope):
        heartbeat = Heartbeat.from_body(envelope.body)
        now = trio.current_time()
        self.membership.handle_heartbeat(envelope.sender, heartbeat, now)
        self.booker.observe_peer_revision(heartbeat.store_revision)
        self.distribution.pull(now)
        self.views.request_newer_view()

    def _handle_group(self, envelope):
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

    def _handle_answers(self, envelope):
        answers = ShardAnswers.from_body(envelope.body)
        arguments = envelope.sender, envelope.number, answers
        if not self.searcher.handle_answers(*arguments):
            self.sender.handle_answers(*arguments)

    def _handle_lost(self, vm_id):
        self.searcher.handle_holder_lost(vm_id)
        self.sender.handle_holder_lost(vm_id)

    # Changes of settings and views.

    def _apply_settings(self):
        tree = self.distribution.tree
        self.chooser.set_tree(tree)
        self.router.set_tree(tree)
        self.admission.set_tree(tree)
        self._apply_domains(tree)
        self._apply_targets()
        self._groups = normalize_groups(_list_groups(tree))

    def _apply_domains(self, tree):
        out = {name for name, is_in in tree.fleet.domains.items() if not is_in}
        for name in out - self._domains_out:
            logger.info("failure domain %s is out of service", name)
            self.holder.set_domain_out(name)
        for name in self._domains_out - out:
            logger.info("failure domain %s is back in service", name)
            self.holder.set_domain_in(name)
        self._domains_out = out

    def _apply_view(self, now):
        membership = self.membership
        view = membership.view
        self.holders_by_target.clear()
        self.holders_by_target.update(view.holders)
        self.held.update(view.holders, view.epoch, membership.is_direct_successor)
        if not membership.is_active:
            self.held.gained_epochs.clear()
        self._apply_targets()
        self.distribution.refresh(now)
        # The new holders wait for this VM's word that its requests have ended.
        self.send_heartbeats(now)

    def _apply_targets(self):
        targets = self.distribution.tree.list_targets()
        held = [targets[name] for name in self.held.gained_epochs if name in targets]
        self.holder.set_targets(held, self.membership.epoch)
        for row in self.holder.core.list_rows():
            row.gained_epoch = self.held.gained_epochs[row.target_id]

    def _is_own_domain_in(self):
        return self.distribution.tree.is_domain_in(self.settings.domain)

    def _list_members(self):
        view = self.membership.view
        return list(view.members) if view else [self.vm_id]

    def _observe_revision(self, revision, asked):
        self.booker.observe_store_revision(revision, asked)

    def _get_known_revision(self):
        return self.booker.heartbeat_revision

    # Permission to send, asked by the holder.

    def check_target(self, target_id, now):
        """Raise unless this VM may send to the target; see `holdercore.Permission`."""
        gained = self.held.gained_epochs.get(target_id)
        if gained is None:
            raise NotHolderError(f"{self.vm_id} does not hold {target_id}")
        if not self.membership.has_lease(now):
            raise NoLeaseError("the lease of this VM has lapsed")
        if not self.membership.may_serve(gained, now):
            raise NotHolderError(f"{target_id} is not handed over yet")
        row = self.holder.core.get_row(target_id)
        if row is not None and row.domain in self._domains_out:
            raise DomainOutError(f"failure domain {row.domain} is out of service")

    # Timers.

    def subscribe(self):
        """Subscribe the periodic work to the timers."""
        self.timers.subscribe("heartbeat", HEARTBEAT_PERIOD_S, self.send_heartbeats)
        self.timers.subscribe("upkeep", UPKEEP_PERIOD_S, self._keep_up)

    def send_heartbeats(self, now):
        """Send heartbeats to all members."""
        self._check_clock(now)
        self.membership.store_revision = self.booker.heartbeat_revision
        self.views.send_heartbeats(now)

    def _check_clock(self, now):
        """Drop the lease if the monotonic clock stood still, as in a suspended VM."""
        offset = time.time() - now
        if offset - self._clock_offset > SKEW_S:
            logger.warning("the wall clock ran ahead; lease dropped")
            self.membership.drop_grants()
        self._clock_offset = offset

    def _keep_up(self, now):
        membership = self.membership
        may_report_release = self.held.may_report_release(
            self.holder.core.list_in_flight()
        )
        if may_report_release and membership.released_epoch < membership.epoch:
            membership.record_release(membership.epoch, now)
            self.send_heartbeats(now)
        self.distribution.pull(now)
        self.views.request_newer_view()

    # The callers' service.

    @property
    def tree(self):
        """The settings in force."""
        return self.distribution.tree

    def find_unready_reason(self):
        """Return why the load balancer should not send here, or None."""
        if self.is_draining:
            return "draining"
        if not self.distribution.is_loaded:
            return "no_settings"
        if not self.membership.has_lease(trio.current_time()):
            return NoLeaseError.code
        if not self._is_own_domain_in():
            return DomainOutError.code
        return None

    async def search(self, search, request_id):
        """Run a checked `entry.SearchRequest`; return its `SearchResult`."""
        team, dataset = search.team.name, search.dataset.name
        deadline_s = search.deadline_ms / 1000
        with bind_request(request_id):
            started_at = self._begin(request_id, "search", team, dataset)
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
                is_overloaded = load_refusals > OVERLOADED_SHARE * total
                seconds = self._end(
                    request_id, team, code, started_at, deadline_s, is_overloaded
                )
                counts = (coverage.answered, coverage.total) if coverage else (0, 0)
                self.metrics.observe_search(team, seconds, code, *counts)
                logger.info(
                    "search in %s: %s in %.1f ms", dataset, code, seconds * 1000
                )

    async def book(self, booking, request_id):
        """Run a checked `entry.BookingRequest`; return the target's result."""
        team, dataset = booking.team.name, booking.dataset.name
        deadline_s = booking.deadline_ms / 1000
        with bind_request(request_id):
            started_at = self._begin(request_id, "booking", team, dataset)
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
                seconds = self._end(request_id, team, code, started_at, deadline_s)
                self.metrics.observe_booking(team, seconds, code)
                logger.info(
                    "booking in %s: %s in %.1f ms", dataset, code, seconds * 1000
                )

    def _begin(self, request_id, name, team, dataset):
        now = trio.current_time()
        if not self.membership.has_lease(now):
            raise NoLeaseError("this VM hears no majority of the members")
        self.admission.admit(team, now)
        self.traces.add(request_id, now, name, time.time(), team=team, dataset=dataset)
        return now

    def _end(self, request_id, team, code, started_at, deadline_s, is_overloaded=False):
        now = trio.current_time()
        seconds = now - started_at
        # A partial answer comes at the split deadline. It says that a shard is
        # lost, which is no reason to admit fewer requests.
        is_late = seconds > (subtract_merge_reserve(deadline_s) + deadline_s) / 2
        self.admission.release(team, is_late, is_overloaded, now)
        self.traces.finish(request_id, now, code)
        return seconds

    def note_refusal(self, request_id, error):
        """Count a request that was refused before any of it ran."""
        if error.outcome is Outcome.NOT_RUN:
            self.metrics.count_refusal(error.code)

    def _count_attempts(self, run):
        self.metrics.count_attempts(FIRST, run.first_attempts)
        self.metrics.count_attempts(HEDGE, run.hedges)
        self.metrics.count_attempts(RETRY, run.extra_attempts - run.hedges)

    def render_metrics(self):
        """Return the body of /metrics and its content type."""
        return self.metrics.render_metrics()

    def describe_targets(self):
        """Return state, limit and requests in flight of each held target."""
        rows = self.holder.core.list_rows()
        return [[r.target_id, str(r.state), r.limit, r.in_flight] for r in rows]

    def is_idle(self):
        """Whether nothing is in flight and every booking's outcome is recorded."""
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
        values.settings_ages_s = self.distribution.list_ages(now)
        values.held_targets = len(self.held.gained_epochs)
        values.lease_remaining_s = max(membership.lease_until(now) - now, 0.0)
        values.view_epoch = membership.view.number if membership.view else 0
        values.view_members = len(membership.view.members) if membership.view else 0
        values.in_flight = self.admission.in_flight
        values.admission_limit = self.admission.limit


class Node:
    """Runs the parts of one VM until it is told to drain.

    Parameters
    ----------
    settings : settings.VmSettings
    """

    def __init__(self, settings):
        self._settings = settings
        self._parts = None
        self._shutdown = None

    async def run(self):
        """Serve until SIGTERM or SIGINT; then finish what is in flight.

        Raises
        ------
        PortInUseError
            If a listening address is taken.
        """
        settings = self._settings
        self._shutdown = trio.Event()
        caller_listeners = await bind_listeners(settings.caller_address)
        peer_listeners = await bind_listeners(settings.peer_address)
        admin_listeners = await bind_listeners(settings.admin_address)
        parts = self._parts = _build_parts(settings)
        async with trio.open_nursery() as background:
            background.start_soon(parts.link.run, peer_listeners)
            background.start_soon(self._serve_admin, admin_listeners)
            await background.start(parts.holder.run, parts.timers)
            await background.start(parts.booker.run)
            parts.subscribe()
            background.start_soon(parts.timers.run)
            background.start_soon(parts.distribution.run)
            background.start_soon(parts.views.run)
            background.start_soon(self._drain_on_signal)
            logger.info("serving callers on %s", settings.caller_address)
            routes = CallerRoutes(parts)
            options = ServerOptions(cancel_on_disconnect=True)
            await serve_http(routes.handle, caller_listeners, options, self._shutdown)
            await self._finish_work()
            background.cancel_scope.cancel()
        logger.info("stopped")

    async def _serve_admin(self, listeners):
        routes = AdminRoutes(
            self._parts.administration,
            HttpResponse.from_json,
            self._settings.bootstrap_token_sha256,
        )
        await serve_http(routes.handle, listeners)

    async def _drain_on_signal(self):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                logger.info("draining after %s", signal.Signals(number).name)
                break
            await self._drain()

    async def _drain(self):
        """Leave the view while callers are still served, then stop listening."""
        parts = self._parts
        parts.is_draining = True
        parts.views.is_draining = True
        timeout_s = self._settings.drain_timeout_s
        with trio.move_on_after(timeout_s) as scope:
            await trio.sleep(DRAIN_GRACE_S)
            await parts.timers.wait_until(
                "leave", DRAIN_POLL_S, lambda: not parts.membership.is_member
            )
        if scope.cancelled_caught:
            logger.warning("still a member after %.1f s of draining", timeout_s)
        parts.is_closed = True
        self._shutdown.set()

    async def _finish_work(self):
        """Wait for bookings and for shard requests of other VMs."""
        parts = self._parts
        with trio.move_on_after(self._settings.drain_timeout_s) as scope:
            await parts.timers.wait_until("finish", DRAIN_POLL_S, parts.is_idle)
        if scope.cancelled_caught:
            logger.error("stopped with work in flight or outcomes not recorded")


def _list_groups(tree):
    """Return the groups of replicas of all layouts, and each target alone."""
    groups = []
    for dataset in tree.datasets.values():
        for layout in dataset.layouts.values():
            groups += layout.values()
        groups += [[name] for name in dataset.targets]
    return groups


def _build_parts(settings):
    def create_client(target, max_connections):
        return HttpTargetClient(target.target_id, target.address, max_connections)

    store = HttpStore(settings.store_address)
    vm_list = HttpVmList(settings.vm_list_address)
    return Parts(settings, store, vm_list, create_client)


def run_vm(settings):
    """Run one VM's process until it has drained.

    Parameters
    ----------
    settings : settings.VmSettings

    Raises
    ------
    PortInUseError
        If a listening address is taken.
    """
    trio.run(Node(settings).run)
