"""Tests of the placement of targets."""

import random
import time

import testtools

from tarragonchute.placement import HeldTargets, assign_holders, rank, update_holders

MEMBERS = [f"vm-{n}" for n in range(9)]


def make_pairs(count):
    """Return `count` groups of two replicas each."""
    return [(f"s{n}-a", f"s{n}-b") for n in range(count)]


def list_moved(before, after):
    return {target for target in before if before[target] != after[target]}


class AssignHoldersTests(testtools.TestCase):
    """Assignment computed from groups and members only."""

    def test_replicas_get_different_holders(self):
        """Guards against the crash of one VM that leaves a shard without replica."""
        groups = [*make_pairs(200), ("x", "y", "z"), ("s0-a", "x")]
        for size in range(3, 10):
            holders = assign_holders(groups, MEMBERS[:size])
            for group in groups:
                self.assertEqual(len(group), len({holders[t] for t in group}))

    def test_replicas_are_spread_evenly_over_too_few_members(self):
        """Guards against one member that holds all replicas of a shard."""
        holders = assign_holders([("a", "b", "c", "d")], MEMBERS[:2])
        counts = [list(holders.values()).count(vm_id) for vm_id in MEMBERS[:2]]
        self.assertEqual([2, 2], counts)

    def test_no_members_and_no_targets(self):
        """Guards against an error at the first view, or before any layout is set."""
        self.assertEqual({}, assign_holders([("a", "b")], []))
        self.assertEqual({}, assign_holders([], MEMBERS))

    def test_result_does_not_depend_on_input_order(self):
        """Guards against two VMs that compute different holders for one view."""
        groups = [*make_pairs(50), ("s1-a", "s2-b"), ("s3-a",), ("q", "r", "s")]
        expected = assign_holders(groups, MEMBERS)
        source = random.Random(1)
        for _ in range(20):
            shuffled = [source.sample(g, len(g)) for g in groups]
            source.shuffle(shuffled)
            vm_ids = source.sample(MEMBERS, len(MEMBERS))
            self.assertEqual(expected, assign_holders(shuffled, iter(vm_ids)))

    def test_leave_moves_few_other_targets(self):
        """Guards against a crash that moves many targets of live holders."""
        groups = make_pairs(1000)
        before = assign_holders(groups, MEMBERS)
        for removed in MEMBERS:
            rest = [vm_id for vm_id in MEMBERS if vm_id != removed]
            after = assign_holders(groups, rest)
            moved = list_moved(before, after)
            holderless = {t for t, vm_id in before.items() if vm_id == removed}
            self.assertEqual(set(), holderless - moved)
            # A replica on a live holder moves if its sibling lost its holder, is placed
            # first, and ranks that live holder next: about one in eight of them.
            extra = moved - holderless
            self.assertLess(len(extra), 0.1 * len(holderless))

    def test_join_moves_few_other_targets(self):
        """Guards against a join that moves many targets between older members."""
        groups = make_pairs(1000)
        before = assign_holders(groups, MEMBERS[:8])
        after = assign_holders(groups, MEMBERS)
        moved = list_moved(before, after)
        gained = {t for t, vm_id in after.items() if vm_id == MEMBERS[8]}
        self.assertLess(len(moved - gained), 0.1 * len(gained))

    def test_load_is_balanced(self):
        """Guards against a biased hash that overloads one member."""
        holders = assign_holders(make_pairs(2000), MEMBERS)
        for vm_id in MEMBERS:
            share = list(holders.values()).count(vm_id) / len(holders)
            self.assertTrue(0.09 < share < 0.135, (vm_id, share))

    def test_assignment_of_thousands_of_targets_is_fast(self):
        """Guards against a view change that blocks the event loop."""
        groups = make_pairs(2000)
        assign_holders(groups, MEMBERS)
        started_at = time.process_time()
        assign_holders(groups, MEMBERS[1:])
        self.assertLess(time.process_time() - started_at, 0.5)

    def test_rank_lists_every_member_once(self):
        """Guards against a member that is never ranked."""
        self.assertEqual(MEMBERS, sorted(rank("t", MEMBERS)))


class HeldTargetsTests(testtools.TestCase):
    """Epochs at which a VM gained its targets."""

    def test_kept_targets_keep_their_epoch(self):
        """Guards against an interruption of targets that did not move."""
        held = HeldTargets("me")
        held.update({"a": "me", "b": "me"}, 1, is_direct_successor=False)
        lost = held.update(
            {"a": "me", "b": "you", "c": "me"}, 2, is_direct_successor=True
        )
        self.assertEqual({"a": 1, "c": 2}, held.gained_epochs)
        self.assertEqual({"b"}, lost)

    def test_target_counts_as_gained_after_a_skipped_view(self):
        """Guards against two senders after a target moved away and back.

        Another VM may have held the target in the skipped view, and may still have a
        lease.
        """
        held = HeldTargets("me")
        held.update({"a": "me"}, 1, is_direct_successor=False)
        held.update({"a": "me"}, 3, is_direct_successor=False)
        self.assertEqual({"a": 3}, held.gained_epochs)

    def test_requests_from_before_a_regain_prevent_the_release(self):
        """Guards against two senders when a target moves away and back quickly.

        The holder in between waits until the requests sent before are finished.
        """
        held = HeldTargets("me")
        held.update({"a": "me"}, 1, is_direct_successor=False)
        held.update({"a": "you"}, 2, is_direct_successor=True)
        held.update({"a": "me"}, 3, is_direct_successor=True)
        self.assertFalse(held.may_report_release([("a", 1)]))
        self.assertTrue(held.may_report_release([("a", 3)]))
        self.assertTrue(held.may_report_release([]))


class UpdateHoldersTests(testtools.TestCase):
    """Assignment updated from that of the preceding view."""

    def test_leave_moves_only_the_targets_of_the_leaver(self):
        """Guards against a crash after which all replicas of a shard are unserved.

        Targets of live holders must not move.
        """
        groups = make_pairs(300)
        for size in (3, 4, 9):
            members = MEMBERS[:size]
            before = update_holders(groups, members, {})
            for removed in members:
                rest = [vm_id for vm_id in members if vm_id != removed]
                after = update_holders(groups, rest, before)
                moved = {before[t] for t in after if after[t] != before[t]}
                self.assertEqual({removed}, moved)
                self.assertEqual(after, update_holders(groups, rest, after))
                for first, second in groups:
                    self.assertNotEqual(after[first], after[second])

    def test_join_moves_only_a_fair_share_of_targets_to_the_joiner(self):
        """Guards against a joining VM that gains no targets, or moves all of them."""
        groups = make_pairs(300)
        before = update_holders(groups, MEMBERS[:5], {})
        after = update_holders(groups, MEMBERS[:6], before)
        moved = [t for t in after if after[t] != before[t]]
        self.assertEqual({MEMBERS[5]}, {after[t] for t in moved})
        self.assertTrue(60 <= len(moved) <= 140, len(moved))

    def test_random_changes_keep_replicas_apart_and_shares_fair(self):
        """Guards against shares that become uneven over many changes."""
        groups = make_pairs(300)
        source = random.Random(5)
        members, holders = list(MEMBERS[:6]), {}
        for _ in range(200):
            if len(members) > 4 and source.random() < 0.5:
                members.remove(source.choice(members))
            elif len(members) < len(MEMBERS):
                spare = [vm_id for vm_id in MEMBERS if vm_id not in members]
                members.append(source.choice(spare))
            holders = update_holders(groups, members, holders)
            self.assertEqual(set(members), set(holders.values()))
            for first, second in groups:
                self.assertNotEqual(holders[first], holders[second])
        counts = [list(holders.values()).count(vm_id) for vm_id in members]
        self.assertTrue(max(counts) <= 2.5 * min(counts), counts)
