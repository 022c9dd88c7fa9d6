"""Tests of views, leases and the hand-over, one rule at a time.

`test_handover_faults` and `test_membership_machine` try the rules together.
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

PERIOD = membership.HEARTBEAT_PERIOD_S


def at(number):
    """Return the epoch of the test view with a number."""
    return number << 32


def make_view(number, vm_ids, previous=(), leaving=(), incarnations=None):
    """Return a view of processes named after their VM."""
    names = {vm_id: f"{vm_id}-1" for vm_id in vm_ids} | (incarnations or {})
    members = {k: Member(names[k], f"{k}:1", "north") for k in vm_ids}
    for vm_id in leaving:
        members[vm_id] = members[vm_id].with_state(MemberState.LEAVING)
    history = [at(older) for older in range(1, number)]
    return View(at(number), members, previous, history=history)


class Cell:
    """Some VMs on one clock, with messages that arrive at once."""

    def __init__(self, *vm_ids):
        self.vms = {k: Membership(k, f"{k}-1", f"{k}:1", "north") for k in vm_ids}
        self.now = 100.0
        self.cut = set()

    def __getitem__(self, vm_id):
        return self.vms[vm_id]

    def adopt(self, view, *vm_ids):
        for vm_id in vm_ids or self.vms:
            self.vms[vm_id].adopt_view(view, self.now)
            self.vms[vm_id].record_release(view.epoch, self.now)
            self.vms[vm_id].record_settings_read(view.epoch)

    def run(self, seconds):
        for _ in range(round(seconds / PERIOD)):
            self.now += PERIOD
            for sender, vm in self.vms.items():
                for addressee, heartbeat in vm.build_heartbeats(self.now):
                    if not {sender, addressee} & self.cut and addressee in self.vms:
                        self.vms[addressee].handle_heartbeat(
                            sender, heartbeat, self.now
                        )

    def has_lease(self, vm_id):
        return self.vms[vm_id].has_lease(self.now)


class ViewTests(testtools.TestCase):
    """The value in the store."""

    def test_round_trip(self):
        """Guards against a field of the view lost between two VMs."""
        view = make_view(4, ["a", "b"], [{"a": "a-1"}], leaving=["b"])
        view = View(
            4, view.members, view.previous, [["t2", "t1"], ["t1"]], [("c", "1")]
        )
        again = View.from_value(view.to_value())
        self.assertEqual(view.to_body(), again.to_body())
        self.assertEqual(["a"], again.list_active())
        self.assertEqual([["t1", "t2"]], again.groups)
        self.assertEqual({("c", "1")}, again.dead)

    def test_garbage_is_a_protocol_error(self):
        """Guards against an unreadable view that ends the VM."""
        for text in ("", "[]", "{}", '{"epoch": 1, "members": {"a": {}}}'):
            self.assertRaises(ProtocolError, View.from_value, text)


class LeaseTests(testtools.TestCase):
    """Leases by majority."""

    def test_needs_a_majority(self):
        """Guards against a minority that works during a partition."""
        cell = Cell("a", "b", "c", "d", "e")
        cell.adopt(make_view(1, "abcde"))
        cell.run(1.2)
        self.assertTrue(all(cell.has_lease(k) for k in "abcde"))
        cell.cut = {"d", "e"}
        cell.run(LEASE_S + PERIOD)
        self.assertEqual([True] * 3 + [False] * 2, [cell.has_lease(k) for k in "abcde"])
        cell.cut = {"c", "d", "e"}
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("a"))

    def test_ends_with_the_oldest_echo_of_a_majority(self):
        """Guards against a lease counted from receipt and not from sending."""
        one = Membership("a", "a-1")
        one.adopt_view(make_view(1, "abc"), 0.0)
        one.record_settings_read(at(1))
        ((_, sent), _) = one.build_heartbeats(10.0)
        for when in (10.1, 11.4):
            heartbeat = Heartbeat("b-1", at(1), at(1), 5.0, sent.sent_at, "")
            one.handle_heartbeat("b", heartbeat, when)
        self.assertAlmostEqual(10.0 + LEASE_S, one.lease_until(11.4), places=2)

    def test_echo_of_another_process_is_no_grant(self):
        """Guards against a lease without end after a restart with a new clock."""
        one = Membership("a", "a-1")
        one.adopt_view(make_view(1, "abc"), 0.0)
        one.record_settings_read(at(1))
        one.build_heartbeats(10.0)
        for echo in (9.99, 10.5, 99999.0, None):
            one.handle_heartbeat(
                "b", Heartbeat("b-1", at(1), at(1), 5.0, echo, ""), 10.1
            )
            self.assertFalse(one.has_lease(10.2), echo)

    def test_other_incarnation_grants_nothing(self):
        """Guards against a restarted peer that vouches without its old view."""
        cell = Cell("a", "b")
        cell.adopt(make_view(1, "ab", incarnations={"b": "b-0"}))
        cell.run(3.0)
        self.assertFalse(cell.has_lease("a"))

    def test_peer_with_newer_epoch_grants_nothing(self):
        """Guards against a lease for a view that a majority has left."""
        cell = Cell("a", "b")
        cell.adopt(make_view(1, "ab"))
        cell.run(0.9)
        cell.adopt(make_view(2, "ab", [{"a": "a-1", "b": "b-1"}]), "b")
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("a"))
        self.assertEqual("b", cell["a"].find_vm_with_newer_view())
        self.assertTrue(cell.has_lease("b"))

    def test_gone_members_stay_in_the_majority_of_a_lease(self):
        """Guards against two VMs that count majorities of different sets."""
        cell = Cell("a", "b", "c", "d", "e")
        cell.adopt(make_view(1, "abcde"))
        cell.cut = {"c", "d", "e"}
        cell["a"].set_gone_vms(["c", "d", "e"], cell.now)
        cell.run(3.0)
        self.assertFalse(cell.has_lease("a"))

    def test_lease_lasts_over_a_view_change(self):
        """Guards against an interruption of targets that did not move."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        view = make_view(2, "abcd", [make_view(1, "abc").incarnations()])
        cell.adopt(view, "a")
        self.assertTrue(cell["a"].may_serve(at(1), cell.now))
        self.assertFalse(cell["a"].may_serve(at(2), cell.now))

    def test_no_service_for_leaving_or_replaced_process(self):
        """Guards against a process that serves after it lost its place."""
        for view in (
            make_view(2, "abc", leaving="a"),
            make_view(2, "bc"),
            make_view(2, "abc", incarnations={"a": "a-2"}),
        ):
            cell = Cell("a", "b", "c")
            cell.adopt(make_view(1, "abc"))
            cell.run(0.9)
            self.assertTrue(cell["a"].may_serve(at(1), cell.now))
            cell.adopt(view, "a")
            self.assertFalse(cell["a"].may_serve(at(1), cell.now))

    def test_clock_jump_drops_the_lease(self):
        """Guards against a lease that was frozen together with the VM."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        cell["a"].drop_grants()
        self.assertFalse(cell.has_lease("a"))
        cell.run(0.9)
        self.assertTrue(cell.has_lease("a"))

    def test_grants_only_after_settings_were_read(self):
        """Guards against joiners with old settings that form a majority."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "a"), "a")
        cell.run(0.9)
        view = make_view(2, "abc", [{"a": "a-1"}])
        for vm_id in "abc":
            cell[vm_id].adopt_view(view, cell.now)
        cell.cut = {"a"}
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("b"))
        cell["b"].record_settings_read(at(2))
        cell.run(0.9)
        self.assertFalse(cell.has_lease("b"))
        cell["c"].record_settings_read(at(2))
        cell.run(0.9)
        self.assertTrue(cell.has_lease("b"))

    def test_removal_of_a_member_asks_for_a_new_reading(self):
        """Guards against a survivor that never knew an accepted version."""
        cell = Cell("a", "b")
        cell.adopt(make_view(1, "ab"))
        cell.run(0.9)
        cell["a"].adopt_view(make_view(2, "a", [{"a": "a-1"}]), cell.now)
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("a"))
        cell["a"].record_settings_read(at(2))
        self.assertTrue(cell.has_lease("a"))

    def test_late_report_of_gone_does_not_bury_a_new_process(self):
        """Guards against votes counted for a restarted VM that is alive."""
        cell = Cell("a", "b", "c")
        cell["a"].set_gone_vms(["b"], cell.now)
        cell.adopt(make_view(2, "a", [{"a": "a-1", "b": "b-2"}]), "a")
        cell.run(GONE_CONFIRMATION_S + PERIOD)
        self.assertFalse(cell["a"].is_activated)

    def test_guest_gets_a_lease_and_grants_none(self):
        """Guards against a VM outside the view that counts in a majority."""
        cell = Cell("a", "b", "c", "g")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        self.assertTrue(cell.has_lease("g"))
        self.assertFalse(cell["g"].may_serve(0, cell.now))
        cell.cut = {"b", "c"}
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("a"))
        self.assertFalse(cell.has_lease("g"))


class SettingsVetoTests(testtools.TestCase):
    """Grants of peers with newer settings."""

    def test_newer_settings_veto_the_grant(self):
        """Guards against a VM that works on without an accepted version."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(0.9)
        cell["b"].set_settings("new")
        cell["c"].set_settings("new")
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("a"))
        self.assertEqual(["b", "c"], cell["a"].list_unknown_settings(cell.now))
        cell["a"].set_settings("new")
        self.assertTrue(cell.has_lease("a"))

    def test_older_settings_count_once_compared(self):
        """Guards against a VM that its slower peers stop."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell["a"].set_settings("new")
        cell.run(0.9)
        self.assertFalse(cell.has_lease("a"))
        cell["a"].record_settings_comparison("", has_newer=False)
        self.assertTrue(cell.has_lease("a"))
        cell["a"].record_settings_comparison("", has_newer=True)
        cell.run(LEASE_S + PERIOD)
        self.assertFalse(cell.has_lease("a"))

    def test_reordered_heartbeat_does_not_lift_the_veto(self):
        """Guards against a grant counted with the digest of an older heartbeat."""
        one = Membership("a", "a-1")
        one.adopt_view(make_view(1, "ab"), 0.0)
        one.record_settings_read(at(1))
        ((_, sent),) = one.build_heartbeats(10.0)
        one.handle_heartbeat(
            "b", Heartbeat("b-1", at(1), at(1), 6, sent.sent_at, "new"), 10.1
        )
        one.handle_heartbeat(
            "b", Heartbeat("b-1", at(1), at(1), 5, sent.sent_at, ""), 10.1
        )
        self.assertFalse(one.has_lease(10.2))


class HandOverTests(testtools.TestCase):
    """When a gained target may be served."""

    def join(self, *others):
        """Return a cell whose third member has just joined."""
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "ab"), "a", "b")
        cell.run(0.9)
        view = make_view(2, "abc", [make_view(1, "ab").incarnations()])
        cell.adopt(view, "c", *others)
        return cell

    def test_release_of_all_ends_the_wait(self):
        """Guards against a clean hand-over as slow as a crash."""
        cell = self.join("a", "b")
        cell.run(0.6)
        self.assertTrue(cell["c"].may_serve(at(2), cell.now))

    def test_waits_for_the_last_release(self):
        """Guards against a new holder that starts while requests are in flight."""
        cell = self.join("a")
        cell["b"].adopt_view(make_view(2, "abc", [{"a": "a-1", "b": "b-1"}]), cell.now)
        cell.run(LEASE_EXPIRY_WAIT_S - PERIOD)
        self.assertTrue(cell["c"].is_activated)
        self.assertFalse(cell["c"].may_serve(at(2), cell.now))
        cell.run(3 * PERIOD)
        self.assertTrue(cell["c"].may_serve(at(2), cell.now))

    def test_release_of_another_process_does_not_count(self):
        """Guards against a restarted VM that vouches for its predecessor."""
        cell = Cell("a", "b", "c")
        cell.vms["b"] = Membership("b", "b-2")
        old = {"a": "a-1", "b": "b-1"}
        view = make_view(3, "abc", [old], incarnations={"b": "b-2"})
        cell.adopt(view)
        cell.run(1.2)
        self.assertTrue(cell["c"].has_lease(cell.now))
        self.assertFalse(cell["c"].may_serve(at(3), cell.now))
        cell.run(LEASE_EXPIRY_WAIT_S)
        self.assertTrue(cell["c"].may_serve(at(3), cell.now))

    def test_activation_needs_a_majority_of_each_previous_set(self):
        """Guards against a wait that starts while old leases are renewed."""
        cell = Cell("a", "x", "y")
        view = make_view(3, "a", [{"a": "a-1"}, {"a": "a-1", "x": "x-1", "y": "y-1"}])
        cell.adopt(view, "a")
        cell.run(6.0)
        self.assertFalse(cell["a"].is_activated)
        self.assertFalse(cell["a"].may_serve(at(3), cell.now))
        cell["a"].set_gone_vms(["x"], cell.now)
        self.assertTrue(cell["a"].is_activated)
        cell.run(LEASE_EXPIRY_WAIT_S + PERIOD)
        self.assertTrue(cell["a"].may_serve(at(3), cell.now))

    def test_pending_condition_lasts_over_further_views(self):
        """Guards against a second view change that ends the wait of the first."""
        cell = self.join()
        cell.run(0.6)
        self.assertFalse(cell["c"].may_serve(at(2), cell.now))
        two = make_view(2, "abc").incarnations()
        cell.adopt(make_view(3, "abc", [{"a": "a-1", "b": "b-1"}, two]), "c")
        self.assertFalse(cell["c"].may_serve(at(2), cell.now))
        cell.adopt(make_view(3, "abc", [two]))
        cell.run(0.6)
        self.assertTrue(cell["c"].may_serve(at(2), cell.now))

    def test_never_adopts_a_lower_epoch(self):
        """Guards against a late copy of an old view."""
        cell = self.join("a", "b")
        for epoch in (1, 2):
            self.assertFalse(cell["a"].adopt_view(make_view(epoch, "ab"), cell.now))
        self.assertEqual(["a", "b", "c"], cell["a"].view.list_active())


class ProposalTests(testtools.TestCase):
    """New views that a VM proposes."""

    def make_cell(self):
        cell = Cell("a", "b", "c")
        cell.adopt(make_view(1, "abc"))
        cell.run(1.2)
        return cell

    def test_first_view(self):
        """Guards against a cell that cannot start."""
        view = Membership("a", "a-1", "a:1").plan_join(None, 0.0)
        self.assertEqual(
            (1, ["a"], []), (view.number, view.list_active(), view.previous)
        )

    def test_joiner_carries_previous_sets_over(self):
        """Guards against a joiner that drops sets which still hold leases."""
        current = make_view(5, "ab", [{"x": "x-1"}])
        view = Membership("c", "c-1").plan_join(current, 0.0)
        self.assertEqual(6, view.number)
        self.assertEqual([{"x": "x-1"}, current.incarnations()], view.previous)
        restarted = Membership("a", "a-2").plan_join(current, 0.0)
        self.assertEqual("a-2", restarted.members["a"].incarnation)
        self.assertIsNone(Membership("a", "a-1").plan_join(current, 0.0))

    def test_previous_is_dropped_only_once_settled(self):
        """Guards against an expelled VM whose lease is forgotten by a next view."""
        cell = self.make_cell()
        self.assertEqual(1, len(cell["a"].plan_mark_leaving(cell.now).previous))
        cell.cut = {"c"}
        cell.run(EVICT_AFTER_S + 2 * PERIOD)
        expelling = cell["a"].plan_eviction(cell.now)
        self.assertEqual(["a", "b"], expelling.list_active())
        cell.adopt(expelling, "a", "b")
        cell.run(0.9)
        self.assertTrue(cell["a"].is_activated)
        self.assertEqual(2, len(cell["a"].plan_mark_leaving(cell.now).previous))
        cell.run(LEASE_EXPIRY_WAIT_S)
        self.assertEqual(1, len(cell["a"].plan_mark_leaving(cell.now).previous))

    def test_proposers_take_turns(self):
        """Guards against all members writing the same expulsion to the store."""
        cell = self.make_cell()
        cell.cut = {"c"}
        cell.run(EVICT_AFTER_S + PERIOD)
        self.assertIsNotNone(cell["a"].plan_eviction(cell.now))
        self.assertIsNone(cell["b"].plan_eviction(cell.now))
        cell.run(PROPOSAL_STAGGER_S + PERIOD)
        self.assertIsNotNone(cell["b"].plan_eviction(cell.now))
        self.assertIsNone(cell["c"].plan_eviction(cell.now))

    def test_waking_vm_expels_nobody(self):
        """Guards against a paused VM that takes its own pause for their silence."""
        cell = self.make_cell()
        cell.now += 60.0
        self.assertIsNone(cell["a"].plan_eviction(cell.now))
        cell.run(0.6)
        self.assertIsNone(cell["a"].plan_eviction(cell.now))

    def test_leave_in_two_steps(self):
        """Guards against a leaver whose targets wait out in vain."""
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
        """Guards against a VM that stays empty after its domain returned."""
        cell = self.make_cell()
        cell.adopt(cell["c"].plan_mark_leaving(cell.now))
        view = cell["c"].plan_mark_active(cell.now)
        self.assertEqual((3, ["a", "b", "c"]), (view.number, view.list_active()))
        self.assertIsNone(cell["a"].plan_mark_active(cell.now))

    def test_dead_majority_is_removed_when_gone(self):
        """Guards against a cell that never serves again after a domain is lost."""
        cell = self.make_cell()
        cell.cut = {"b", "c"}
        cell.run(LEASE_S + PERIOD)
        cell["a"].set_gone_vms(["b", "c"], cell.now)
        self.assertIsNone(cell["a"].plan_removal_of_gone(cell.now))
        cell.run(GONE_CONFIRMATION_S)
        self.assertIsNone(cell["a"].plan_removal_of_gone(cell.now))
        cell["a"].set_gone_vms(["b", "c"], cell.now)
        cell.adopt(cell["a"].plan_removal_of_gone(cell.now), "a")
        cell.run(LEASE_EXPIRY_WAIT_S - PERIOD)
        self.assertFalse(cell["a"].may_serve(at(2), cell.now))
        cell.run(3 * PERIOD)
        self.assertTrue(cell["a"].may_serve(at(2), cell.now))

    def test_forced_removal_restores_the_majority(self):
        """Guards against an operator's command without effect."""
        cell = self.make_cell()
        cell.cut = {"b", "c"}
        cell.run(LEASE_S + PERIOD)
        cell.adopt(remove_from_view(cell["a"].view, ["b", "c"]), "a")
        cell.run(LEASE_EXPIRY_WAIT_S + 2 * PERIOD)
        self.assertTrue(cell["a"].may_serve(at(2), cell.now))

    def test_gone_vm_does_not_join(self):
        """Guards against a process that the others count as dead."""
        one = Membership("a", "a-2")
        one.set_gone_vms(["a"], 0.0)
        self.assertIsNone(one.plan_join(make_view(1, "b"), 0.0))

    def test_older_view_in_the_store_is_replaced(self):
        """Guards against a cell that cannot change after the store regressed."""
        cell = self.make_cell()
        cell.adopt(make_view(5, "abc", [make_view(4, "abc").incarnations()]))
        for stored in (None, make_view(4, "abc")):
            self.assertEqual(5, cell["a"].plan_restore(stored, cell.now).number)
            self.assertIsNone(cell["b"].plan_restore(stored, cell.now))
        self.assertIsNone(cell["a"].plan_restore(make_view(5, "abc"), cell.now))

    def test_other_line_is_merged_and_not_adopted(self):
        """Guards against members that follow a view begun from an older one."""
        cell = self.make_cell()
        cell.adopt(cell["a"].plan_mark_leaving(cell.now))
        cell.adopt(cell["a"].plan_mark_active(cell.now))
        joiner = Membership("f", "f-1", "f:1")
        other = joiner.plan_join(make_view(1, "abc"), cell.now)
        joiner.adopt_view(other, cell.now)
        another = Membership("g", "g-1").plan_join(other, cell.now)
        another = Membership("h", "h-1").plan_join(another, cell.now)
        self.assertGreater(another.epoch, cell["a"].epoch)
        self.assertFalse(cell["a"].adopt_view(another, cell.now))
        self.assertFalse(joiner.adopt_view(cell["a"].view, cell.now))
        merged = cell["a"].plan_restore(another, cell.now)
        self.assertEqual((5, ["a", "b", "c"]), (merged.number, merged.list_active()))
        self.assertIn(another.incarnations(), merged.previous)
        self.assertIn(cell["a"].view.incarnations(), merged.previous)
        for one in (cell["a"], joiner):
            self.assertTrue(one.adopt_view(merged, cell.now))
            self.assertFalse(one.is_continuous)

    def test_layout_change_is_a_view_change(self):
        """Guards against two holders where settings reach VMs at different times."""
        cell = self.make_cell()
        groups = [("t2", "t1")]
        view = cell["a"].plan_groups(groups, cell.now)
        self.assertEqual((2, [["t1", "t2"]]), (view.number, view.groups))
        self.assertIsNone(cell["b"].plan_groups(groups, cell.now))
        cell.adopt(view)
        self.assertIsNone(cell["a"].plan_groups([("t1", "t2"), ("t1",)], cell.now))

    def test_restarts_do_not_grow_the_view_without_bound(self):
        """Guards against a VM in a restart loop that fills the store's value."""
        cell = self.make_cell()
        previous = [{"c": f"c-{n}"} for n in range(2, 42)]
        cell.adopt(make_view(2, "abc", previous))
        self.assertIsNone(cell["a"].plan_compaction(cell.now))
        cell.run(LEASE_EXPIRY_WAIT_S + 3 * PERIOD)
        self.assertEqual(1, len(cell["a"].plan_compaction(cell.now).previous))
        self.assertIsNone(cell["b"].plan_compaction(cell.now))

    def test_rows_of_strangers_are_bounded(self):
        """Guards against memory that grows with every restarted process."""
        cell = self.make_cell()
        one = cell["a"]
        for number in range(500):
            heartbeat = Heartbeat(f"g-{number}", at(1), at(1), 1.0, None, "")
            one.handle_heartbeat(f"g{number}", heartbeat, cell.now)
        self.assertLess(len(one._rows), 70)
        self.assertLess(len(one.build_heartbeats(cell.now)), 20)
        self.assertTrue(cell.has_lease("a"))
