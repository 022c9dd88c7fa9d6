"""Unit tests of views, leases and the handover of targets.

`test_handover_faults` and `test_membership_machine` test their combinations.
"""

import testtools

from tarragonchute import membership
from tarragonchute.errors import ProtocolError
from tarragonchute.membership import (
    EVICT_AFTER_S,
    GONE_CONFIRMATION_S,
    LEASE_EXPIRY_WAIT_S,
    LEASE_S,
    PROPOSAL_STAGGER_S,
    Member,
    Membership,
    MemberState,
    View,
    remove_from_view,
)
from tarragonchute.messages import Heartbeat

PERIOD_S = membership.HEARTBEAT_PERIOD_S


def make_epoch(number):
    """Return the epoch of a test view, whose hash is 0."""
    return number << 32


def make_view(number, vm_ids, previous=(), leaving=(), incarnations=None):
    """Return a view whose incarnations are named after their VMs."""
    names = {vm_id: f"{vm_id}-1" for vm_id in vm_ids} | (incarnations or {})
    members = {k: Member(names[k], f"{k}:1", "north") for k in vm_ids}
    for vm_id in leaving:
        members[vm_id] = members[vm_id].with_state(MemberState.LEAVING)
    history = [make_epoch(older) for older in range(1, number)]
    return View(make_epoch(number), members, previous, history=history)


class Cell:
    """VMs that share one clock and exchange heartbeats without delay."""

    def __init__(self, *vm_ids):
        self.vms = {k: Membership(k, f"{k}-1", f"{k}:1", "north") for k in vm_ids}
        self.now = 100.0
        self.partitioned = set()

    def __getitem__(self, vm_id):
        return self.vms[vm_id]

    def adopt(self, view, *vm_ids):
        for vm_id in vm_ids or self.vms:
            self.vms[vm_id].adopt_view(view, self.now)
            self.vms[vm_id].record_release(view.epoch, self.now)
            self.vms[vm_id].record_settings_read(view.epoch)

    def run(self, seconds):
        for _ in range(round(seconds / PERIOD_S)):
            self.now += PERIOD_S
            for sender, vm in self.vms.items():
                for addressee, heartbeat in vm.build_heartbeats(self.now):
                    if (
                        not {sender, addressee} & self.partitioned
                        and addressee in self.vms
                    ):
                        self.vms[addressee].handle_heartbeat(
                            sender, heartbeat, self.now
                        )

    def has_lease(self, vm_id):
        return self.vms[vm_id].has_lease(self.now)


class ViewTests(testtools.TestCase):
    """Encoding of a view for the store."""

    def test_round_trip(self):
        """Guards against a field of the view that encoding or decoding loses."""
        view = make_view(4, ["a", "b"], [{"a": "a-1"}], leaving=["b"])
        view = View(
            4, view.members, view.previous, [["t2", "t1"], ["t1"]], [("c", "1")]
        )
        decoded = View.from_value(view.to_value())
        self.assertEqual(view.to_body(), decoded.to_body())
        self.assertEqual(["a"], decoded.list_active())
        self.assertEqual([["t1", "t2"]], decoded.groups)
        self.assertEqual({("c", "1")}, decoded.dead)

    def test_malformed_view_raises_protocol_error(self):
        """Guards against a malformed view that crashes the VM."""
        for text in ("", "[]", "{}", '{"epoch": 1, "members": {"a": {}}}'):
            self.assertRaises(ProtocolError, View.from_value, text)


class LeaseTests(testtools.TestCase):
    """Leases granted by a majority."""

    def test_needs_a_majority(self):
        """Guards against a minority that keeps its lease during a partition."""
        cell = Cell("a", "b", "c", "d", "e")
        cell.adopt(make_view(1, "abcde"))
        cell.run(1.2)
        self.assertTrue(all(cell.has_lease(k) for k in "abcde"))
        cell.partitioned = {"d", "e"}
        cell.run(LEASE_S + PERIOD_S)
        self.assertEqual([True] * 3 + [False] * 2, [cell.has_lease(k) for k in "abcde"])
        cell.partitioned = {"c", "d", "e"}
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("a"))

    def test_ends_with_the_oldest_echo_of_a_majority(self):
        """Guards against a lease that starts at receipt of the echo.

        It must start when the echoed heartbeat was sent, or it outlasts the grant.
        """
        member = Membership("a", "a-1")
        member.adopt_view(make_view(1, "abc"), 0.0)
        member.record_settings_read(make_epoch(1))
        ((_, sent), _) = member.build_heartbeats(10.0)
        for when in (10.1, 11.4):
            heartbeat = Heartbeat(
                "b-1", make_epoch(1), make_epoch(1), 5.0, sent.sent_at, ""
            )
            member.handle_heartbeat("b", heartbeat, when)
        self.assertAlmostEqual(10.0 + LEASE_S, member.lease_until(11.4), places=2)

    def test_echo_of_time_not_sent_grants_nothing(self):
        """Guards against an endless lease after a restart with a clock that is behind.

        Peers may echo send times of the former process.
        """
        member = Membership("a", "a-1")
        member.adopt_view(make_view(1, "abc"), 0.0)
        member.record_settings_read(make_epoch(1))
        member.build_heartbeats(10.0)
        for echo in (9.99, 10.5, 99999.0, None):
            member.handle_heartbeat(
                "b", Heartbeat("b-1", make_epoch(1), make_epoch(1), 5.0, echo, ""), 10.1
            )
            self.assertFalse(member.has_lease(10.2), echo)

    def test_other_incarnation_grants_nothing(self):
        """Guards against a grant from a restarted peer that isn't the member.

        Its new process doesn't know which leases the old process granted.
        """
        cell = Cell("a", "b")
        cell.adopt(make_view(1, "ab", incarnations={"b": "b-0"}))
        cell.run(3.0)
        self.assertFalse(cell.has_lease("a"))

    def test_peer_with_newer_epoch_grants_nothing(self):
        """Guards against a lease for a view that a majority has superseded."""
        cell = Cell("a", "b")
        cell.adopt(make_view(1, "ab"))
        cell.run(0.9)
        cell.adopt(make_view(2, "ab", [{"a": "a-1", "b": "b-1"}]), "b")
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("a"))
        self.assertEqual("b", cell["a"].find_vm_with_newer_view())
        self.assertTrue(cell.has_lease("b"))

    def test_gone_members_stay_in_the_majority_of_a_lease(self):
        """Guards against two VMs that count majorities of different sets.

        They need not overlap, so both VMs could hold a lease.
        """
        cell = Cell("a", "b", "c", "d", "e")
        cell.adopt(make_view(1, "abcde"))
        cell.partitioned = {"c", "d", "e"}
        cell["a"].set_gone_vms(["c", "d", "e"], cell.now)
        cell.run(3.0)
        self.assertFalse(cell.has_lease("a"))

    def test_view_change_keeps_the_lease(self):
        """Guards against an interruption of targets that did not move."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        view = make_view(2, "abcd", [make_view(1, "abc").incarnations()])
        cell.adopt(view, "a")
        self.assertTrue(cell["a"].may_serve(make_epoch(1), cell.now))
        self.assertFalse(cell["a"].may_serve(make_epoch(2), cell.now))

    def test_no_service_for_leaving_or_replaced_process(self):
        """Guards against a process that serves after it left or was replaced."""
        for view in (
            make_view(2, "abc", leaving="a"),
            make_view(2, "bc"),
            make_view(2, "abc", incarnations={"a": "a-2"}),
        ):
            cell = Cell("a", "b", "c")
            cell.adopt(make_view(1, "abc"))
            cell.run(0.9)
            self.assertTrue(cell["a"].may_serve(make_epoch(1), cell.now))
            cell.adopt(view, "a")
            self.assertFalse(cell["a"].may_serve(make_epoch(1), cell.now))

    def test_clock_jump_drops_the_lease(self):
        """Guards against a lease that a suspended VM still holds when it resumes."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        cell["a"].drop_grants()
        self.assertFalse(cell.has_lease("a"))
        cell.run(0.9)
        self.assertTrue(cell.has_lease("a"))

    def test_grants_only_after_settings_were_read(self):
        """Guards against a majority of joining VMs that have outdated settings."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "a"), "a")
        cell.run(0.9)
        view = make_view(2, "abc", [{"a": "a-1"}])
        for vm_id in "abc":
            cell[vm_id].adopt_view(view, cell.now)
        cell.partitioned = {"a"}
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("b"))
        cell["b"].record_settings_read(make_epoch(2))
        cell.run(0.9)
        self.assertFalse(cell.has_lease("b"))
        cell["c"].record_settings_read(make_epoch(2))
        cell.run(0.9)
        self.assertTrue(cell.has_lease("b"))

    def test_removal_of_a_member_requires_reading_the_settings(self):
        """Guards against a remaining member that lacks an accepted settings version."""
        cell = Cell("a", "b")
        cell.adopt(make_view(1, "ab"))
        cell.run(0.9)
        cell["a"].adopt_view(make_view(2, "a", [{"a": "a-1"}]), cell.now)
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("a"))
        cell["a"].record_settings_read(make_epoch(2))
        self.assertTrue(cell.has_lease("a"))

    def test_outdated_gone_report_does_not_apply_to_a_new_process(self):
        """Guards against a running process that counts as ended after a restart.

        The VM list reported its former process gone shortly before.
        """
        cell = Cell("a", "b", "c")
        cell["a"].set_gone_vms(["b"], cell.now)
        cell.adopt(make_view(2, "a", [{"a": "a-1", "b": "b-2"}]), "a")
        cell.run(GONE_CONFIRMATION_S + PERIOD_S)
        self.assertFalse(cell["a"].is_activated)

    def test_observer_gets_a_lease_and_grants_none(self):
        """Guards against an observer that counts in a majority."""
        cell = Cell("a", "b", "c", "g")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        self.assertTrue(cell.has_lease("g"))
        self.assertFalse(cell["g"].may_serve(0, cell.now))
        cell.partitioned = {"b", "c"}
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("a"))
        self.assertFalse(cell.has_lease("g"))


class NewerSettingsTests(testtools.TestCase):
    """Grants of peers whose settings differ."""

    def test_peer_with_newer_settings_grants_nothing(self):
        """Guards against a VM that keeps its lease without an accepted version."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        cell["b"].set_settings("new")
        cell["c"].set_settings("new")
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("a"))
        self.assertEqual(["b", "c"], cell["a"].list_vms_to_compare(cell.now))
        cell["a"].set_settings("new")
        self.assertTrue(cell.has_lease("a"))

    def test_peer_with_older_settings_grants_once_compared(self):
        """Guards against a VM that loses its lease while peers lack its settings."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell["a"].set_settings("new")
        cell.run(0.9)
        self.assertFalse(cell.has_lease("a"))
        cell["a"].record_settings_comparison("", has_newer=False)
        self.assertTrue(cell.has_lease("a"))
        cell["a"].record_settings_comparison("", has_newer=True)
        cell.run(LEASE_S + PERIOD_S)
        self.assertFalse(cell.has_lease("a"))

    def test_reordered_heartbeat_does_not_allow_the_grant(self):
        """Guards against a grant allowed by the digest of an older heartbeat."""
        member = Membership("a", "a-1")
        member.adopt_view(make_view(1, "ab"), 0.0)
        member.record_settings_read(make_epoch(1))
        ((_, sent),) = member.build_heartbeats(10.0)
        member.handle_heartbeat(
            "b",
            Heartbeat("b-1", make_epoch(1), make_epoch(1), 6, sent.sent_at, "new"),
            10.1,
        )
        member.handle_heartbeat(
            "b",
            Heartbeat("b-1", make_epoch(1), make_epoch(1), 5, sent.sent_at, ""),
            10.1,
        )
        self.assertFalse(member.has_lease(10.2))


class HandoverTests(testtools.TestCase):
    """Conditions under which a gained target may be served."""

    def join(self, *others):
        """Return a cell whose third member has just joined; `others` know of it."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "ab"), "a", "b")
        cell.run(0.9)
        view = make_view(2, "abc", [make_view(1, "ab").incarnations()])
        cell.adopt(view, "c", *others)
        return cell

    def test_release_of_all_ends_the_wait(self):
        """Guards against a regular handover that waits for the leases to expire."""
        cell = self.join("a", "b")
        cell.run(0.6)
        self.assertTrue(cell["c"].may_serve(make_epoch(2), cell.now))

    def test_waits_for_the_last_release(self):
        """Guards against a new holder that sends while old requests are in flight."""
        cell = self.join("a")
        cell["b"].adopt_view(make_view(2, "abc", [{"a": "a-1", "b": "b-1"}]), cell.now)
        cell.run(LEASE_EXPIRY_WAIT_S - PERIOD_S)
        self.assertTrue(cell["c"].is_activated)
        self.assertFalse(cell["c"].may_serve(make_epoch(2), cell.now))
        cell.run(3 * PERIOD_S)
        self.assertTrue(cell["c"].may_serve(make_epoch(2), cell.now))

    def test_release_of_another_process_does_not_count(self):
        """Guards against a restarted VM that reports the release of its old process."""
        cell = Cell("a", "b", "c")
        cell.vms["b"] = Membership("b", "b-2")
        old = {"a": "a-1", "b": "b-1"}
        view = make_view(3, "abc", [old], incarnations={"b": "b-2"})
        cell.adopt(view)
        cell.run(1.2)
        self.assertTrue(cell["c"].has_lease(cell.now))
        self.assertFalse(cell["c"].may_serve(make_epoch(3), cell.now))
        cell.run(LEASE_EXPIRY_WAIT_S)
        self.assertTrue(cell["c"].may_serve(make_epoch(3), cell.now))

    def test_activation_needs_a_majority_of_each_previous_set(self):
        """Guards against a wait that starts while old leases can still be renewed."""
        cell = Cell("a", "x", "y")
        view = make_view(3, "a", [{"a": "a-1"}, {"a": "a-1", "x": "x-1", "y": "y-1"}])
        cell.adopt(view, "a")
        cell.run(6.0)
        self.assertFalse(cell["a"].is_activated)
        self.assertFalse(cell["a"].may_serve(make_epoch(3), cell.now))
        cell["a"].set_gone_vms(["x"], cell.now)
        self.assertTrue(cell["a"].is_activated)
        cell.run(LEASE_EXPIRY_WAIT_S + PERIOD_S)
        self.assertTrue(cell["a"].may_serve(make_epoch(3), cell.now))

    def test_pending_wait_continues_over_further_views(self):
        """Guards against a second view change that cancels the wait of the first."""
        cell = self.join()
        cell.run(0.6)
        self.assertFalse(cell["c"].may_serve(make_epoch(2), cell.now))
        second_set = make_view(2, "abc").incarnations()
        cell.adopt(make_view(3, "abc", [{"a": "a-1", "b": "b-1"}, second_set]), "c")
        self.assertFalse(cell["c"].may_serve(make_epoch(2), cell.now))
        cell.adopt(make_view(3, "abc", [second_set]))
        cell.run(0.6)
        self.assertTrue(cell["c"].may_serve(make_epoch(2), cell.now))

    def test_never_adopts_a_lower_epoch(self):
        """Guards against the adoption of a delayed old view."""
        cell = self.join("a", "b")
        for epoch in (1, 2):
            self.assertFalse(cell["a"].adopt_view(make_view(epoch, "ab"), cell.now))
        self.assertEqual(["a", "b", "c"], cell["a"].view.list_active())


class ProposalTests(testtools.TestCase):
    """Views that a VM proposes."""

    def make_cell(self):
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(1.2)
        return cell

    def test_first_view(self):
        """Guards against a cell that cannot create its first view."""
        view = Membership("a", "a-1", "a:1").plan_join(None, 0.0)
        self.assertEqual(
            (1, ["a"], []), (view.number, view.list_active(), view.previous)
        )

    def test_join_keeps_previous_sets(self):
        """Guards against a join that drops sets which may still hold leases."""
        current = make_view(5, "ab", [{"x": "x-1"}])
        view = Membership("c", "c-1").plan_join(current, 0.0)
        self.assertEqual(6, view.number)
        self.assertEqual([{"x": "x-1"}, current.incarnations()], view.previous)
        restarted = Membership("a", "a-2").plan_join(current, 0.0)
        self.assertEqual("a-2", restarted.members["a"].incarnation)
        self.assertIsNone(Membership("a", "a-1").plan_join(current, 0.0))

    def test_previous_is_dropped_only_once_settled(self):
        """Guards against a view that no longer lists an evicted VM with a lease."""
        cell = self.make_cell()
        self.assertEqual(1, len(cell["a"].plan_mark_leaving(cell.now).previous))
        cell.partitioned = {"c"}
        cell.run(EVICT_AFTER_S + 2 * PERIOD_S)
        evicting = cell["a"].plan_eviction(cell.now)
        self.assertEqual(["a", "b"], evicting.list_active())
        cell.adopt(evicting, "a", "b")
        cell.run(0.9)
        self.assertTrue(cell["a"].is_activated)
        self.assertEqual(2, len(cell["a"].plan_mark_leaving(cell.now).previous))
        cell.run(LEASE_EXPIRY_WAIT_S)
        self.assertEqual(1, len(cell["a"].plan_mark_leaving(cell.now).previous))

    def test_proposals_are_staggered(self):
        """Guards against members that all write the same eviction to the store."""
        cell = self.make_cell()
        cell.partitioned = {"c"}
        cell.run(EVICT_AFTER_S + PERIOD_S)
        self.assertIsNotNone(cell["a"].plan_eviction(cell.now))
        self.assertIsNone(cell["b"].plan_eviction(cell.now))
        cell.run(PROPOSAL_STAGGER_S + PERIOD_S)
        self.assertIsNotNone(cell["b"].plan_eviction(cell.now))
        self.assertIsNone(cell["c"].plan_eviction(cell.now))

    def test_resumed_vm_evicts_nobody(self):
        """Guards against a resumed VM that evicts the others.

        It received no heartbeats during its pause.
        """
        cell = self.make_cell()
        cell.now += 60.0
        self.assertIsNone(cell["a"].plan_eviction(cell.now))
        cell.run(0.6)
        self.assertIsNone(cell["a"].plan_eviction(cell.now))

    def test_leave_in_two_steps(self):
        """Guards against a handover that waits for a VM that has ended.

        A VM that leaves before its release is known makes the others wait for the
        expiry of its lease.
        """
        cell = self.make_cell()
        leaving = cell["c"].plan_mark_leaving(cell.now)
        self.assertEqual(["a", "b"], leaving.list_active())
        cell.adopt(leaving, "a", "b")
        cell["c"].adopt_view(leaving, cell.now)
        cell.run(0.9)
        self.assertIsNone(cell["c"].plan_leave(cell.now))
        cell["c"].record_release(leaving.epoch, cell.now)
        cell.run(0.6)
        self.assertTrue(cell["a"].may_serve(leaving.epoch, cell.now))
        left = cell["c"].plan_leave(cell.now)
        self.assertEqual([{"a": "a-1", "b": "b-1"}], left.previous)
        self.assertEqual(["a", "b"], sorted(left.members))

    def test_domain_back(self):
        """Guards against a VM without targets after its domain is back in service."""
        cell = self.make_cell()
        cell.adopt(cell["c"].plan_mark_leaving(cell.now))
        view = cell["c"].plan_mark_active(cell.now)
        self.assertEqual((3, ["a", "b", "c"]), (view.number, view.list_active()))
        self.assertIsNone(cell["a"].plan_mark_active(cell.now))

    def test_dead_majority_is_removed_when_gone(self):
        """Guards against a cell that stays without lease after it lost a domain."""
        cell = self.make_cell()
        cell.partitioned = {"b", "c"}
        cell.run(LEASE_S + PERIOD_S)
        cell["a"].set_gone_vms(["b", "c"], cell.now)
        self.assertIsNone(cell["a"].plan_removal_of_gone(cell.now))
        cell.run(GONE_CONFIRMATION_S)
        self.assertIsNone(cell["a"].plan_removal_of_gone(cell.now))
        cell["a"].set_gone_vms(["b", "c"], cell.now)
        cell.adopt(cell["a"].plan_removal_of_gone(cell.now), "a")
        cell.run(LEASE_EXPIRY_WAIT_S - PERIOD_S)
        self.assertFalse(cell["a"].may_serve(make_epoch(2), cell.now))
        cell.run(3 * PERIOD_S)
        self.assertTrue(cell["a"].may_serve(make_epoch(2), cell.now))

    def test_forced_removal_restores_the_majority(self):
        """Guards against a forced removal that leaves the cell without a majority."""
        cell = self.make_cell()
        cell.partitioned = {"b", "c"}
        cell.run(LEASE_S + PERIOD_S)
        cell.adopt(remove_from_view(cell["a"].view, ["b", "c"]), "a")
        cell.run(LEASE_EXPIRY_WAIT_S + 2 * PERIOD_S)
        self.assertTrue(cell["a"].may_serve(make_epoch(2), cell.now))

    def test_gone_vm_does_not_join(self):
        """Guards against a member whose process the others count as ended."""
        member = Membership("a", "a-2")
        member.set_gone_vms(["a"], 0.0)
        self.assertIsNone(member.plan_join(make_view(1, "b"), 0.0))

    def test_older_view_in_the_store_is_replaced(self):
        """Guards against a cell that cannot change after the store regressed."""
        cell = self.make_cell()
        cell.adopt(make_view(5, "abc", [make_view(4, "abc").incarnations()]))
        for stored in (None, make_view(4, "abc")):
            self.assertEqual(5, cell["a"].plan_restore(stored, cell.now).number)
            self.assertIsNone(cell["b"].plan_restore(stored, cell.now))
        self.assertIsNone(cell["a"].plan_restore(make_view(5, "abc"), cell.now))

    def test_view_of_another_branch_is_merged_and_not_adopted(self):
        """Guards against members that adopt a view derived from an older one."""
        cell = self.make_cell()
        cell.adopt(cell["a"].plan_mark_leaving(cell.now))
        cell.adopt(cell["a"].plan_mark_active(cell.now))
        joiner = Membership("f", "f-1", "f:1")
        other = joiner.plan_join(make_view(1, "abc"), cell.now)
        joiner.adopt_view(other, cell.now)
        descendant = Membership("g", "g-1").plan_join(other, cell.now)
        descendant = Membership("h", "h-1").plan_join(descendant, cell.now)
        self.assertGreater(descendant.epoch, cell["a"].epoch)
        self.assertFalse(cell["a"].adopt_view(descendant, cell.now))
        self.assertFalse(joiner.adopt_view(cell["a"].view, cell.now))
        merged = cell["a"].plan_restore(descendant, cell.now)
        self.assertEqual((5, ["a", "b", "c"]), (merged.number, merged.list_active()))
        self.assertIn(descendant.incarnations(), merged.previous)
        self.assertIn(cell["a"].view.incarnations(), merged.previous)
        for member in (cell["a"], joiner):
            self.assertTrue(member.adopt_view(merged, cell.now))
            self.assertFalse(member.is_direct_successor)

    def test_layout_change_is_a_view_change(self):
        """Guards against two holders of a target.

        This happens if VMs place targets by settings that reach them at different
        times.
        """
        cell = self.make_cell()
        groups = [("t2", "t1")]
        view = cell["a"].plan_groups(groups, cell.now)
        self.assertEqual((2, [["t1", "t2"]]), (view.number, view.groups))
        self.assertIsNone(cell["b"].plan_groups(groups, cell.now))
        cell.adopt(view)
        self.assertIsNone(cell["a"].plan_groups([("t1", "t2"), ("t1",)], cell.now))

    def test_previous_sets_are_bounded(self):
        """Guards against a VM in a restart loop that makes the view grow."""
        cell = self.make_cell()
        previous = [{"c": f"c-{n}"} for n in range(2, 42)]
        cell.adopt(make_view(2, "abc", previous))
        self.assertIsNone(cell["a"].plan_compaction(cell.now))
        cell.run(LEASE_EXPIRY_WAIT_S + 3 * PERIOD_S)
        self.assertEqual(1, len(cell["a"].plan_compaction(cell.now).previous))
        self.assertIsNone(cell["b"].plan_compaction(cell.now))

    def test_rows_of_observers_are_bounded(self):
        """Guards against memory that grows with every restarted observer."""
        cell = self.make_cell()
        member = cell["a"]
        for number in range(500):
            heartbeat = Heartbeat(
                f"g-{number}", make_epoch(1), make_epoch(1), 1.0, None, ""
            )
            member.handle_heartbeat(f"g{number}", heartbeat, cell.now)
        self.assertLess(len(member._rows), 70)
        self.assertLess(len(member.build_heartbeats(cell.now)), 20)
        self.assertTrue(cell.has_lease("a"))
