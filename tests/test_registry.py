"""Tests of the table of registered targets."""

import testtools

from tarragonchute.registry import REGISTRATION_GRACE_S, Registration, Registry


class FakePool:
    """Stands for the connections to one target."""

    def fail_queued(self, now, reason):
        pass


class RecordingPools:
    """Records which connection pools of targets are opened and closed."""

    def __init__(self):
        self.opened = []
        self.closed = []

    def open(self, registration):
        self.opened.append(registration.target_id)
        return FakePool()

    def close(self, pool, now):
        self.closed.append(pool)

    def update_preferences(self, service, targets):
        pass


def build_registration(target_id="i-1", **values):
    """Return a registration of a ready target."""
    fields = {"service": "s", "address": ("10.0.0.1", 80), "domain": "d"}
    return Registration(target_id, **{**fields, **values})


class RegistryTests(testtools.TestCase):
    """Which targets may receive requests."""

    def setUp(self):
        super().setUp()
        self.pools = RecordingPools()
        pools = self.pools
        self.registry = Registry(pools.open, pools.close, pools.update_preferences)

    def list_ids(self, service="s"):
        usable = self.registry.list_usable(service)
        return [target.registration.target_id for target in usable]

    def test_draining_target_gets_no_requests(self):
        """Guards against new requests to a target that is draining."""
        self.registry.apply("i-1", build_registration(), 0.0)
        self.assertEqual(["i-1"], self.list_ids())
        self.registry.apply("i-1", build_registration(is_draining=True), 1.0)
        self.assertEqual([], self.list_ids())

    def test_older_entry_of_the_same_process_changes_nothing(self):
        """Guards against requests to a draining target because of an old entry.

        The store may come back from an older copy, or another VM may be behind.
        """
        draining = build_registration(is_draining=True, sequence=5)
        self.registry.apply("i-1", draining, 0.0)
        self.registry.apply("i-1", build_registration(sequence=4), 1.0)
        self.registry.replace_all({"i-1": build_registration(sequence=4)}, 2.0, False)
        self.assertEqual([], self.list_ids())
        self.registry.apply("i-1", None, 3.0)
        self.registry.apply("i-1", build_registration(sequence=4), 4.0)
        self.assertEqual([], self.list_ids())
        self.registry.apply("i-1", build_registration(sequence=6), 5.0)
        self.assertEqual(["i-1"], self.list_ids())

    def test_entries_that_are_not_ordered_replace_each_other(self):
        """Guards against a target that stays draining without sequence numbers.

        Entries of another process are not ordered either.
        """
        later = ({}, {"sequence": 5}, {"sequence": 1, "started_ms": 2})
        for values in later:
            draining = build_registration(is_draining=True, sequence=5)
            self.registry.apply("i-1", draining, 0.0)
            self.registry.apply("i-1", build_registration(**values), 1.0)
            self.assertEqual(["i-1"], self.list_ids(), values)
            self.registry.apply("i-1", None, 2.0)

    def test_removed_target_gets_no_requests(self):
        """Guards against requests to a target that is gone."""
        self.registry.apply("i-1", build_registration(), 0.0)
        self.registry.apply("i-1", None, 1.0)
        self.assertEqual([], self.list_ids())
        self.assertEqual(1, len(self.pools.closed))

    def test_evacuated_domain_gets_no_requests(self):
        """Guards against requests to a domain that operators took out of service."""
        self.registry.apply("i-1", build_registration(domain="d"), 0.0)
        self.registry.apply("i-2", build_registration("i-2", domain="e"), 0.0)
        self.registry.set_evacuated({"d"})
        self.assertEqual(["i-2"], self.list_ids())
        self.registry.set_evacuated(())
        self.assertEqual(["i-1", "i-2"], self.list_ids())

    def test_restarted_target_gets_new_state(self):
        """Guards against applying statistics of an earlier process with the same id."""
        self.registry.apply("i-1", build_registration(started_ms=1), 0.0)
        before = self.registry.get("i-1")
        self.registry.apply("i-1", build_registration(started_ms=2), 1.0)
        self.assertIsNot(before, self.registry.get("i-1"))
        self.assertEqual([before.pool], self.pools.closed)

    def test_address_of_another_process_is_not_used(self):
        """Guards against sending requests to a process of another service.

        That process reuses the address of a target that is gone.
        """
        self.registry.apply("i-1", build_registration(), 0.0)
        target = self.registry.get("i-1")
        self.registry.record_address_reuse(target, 1.0)
        self.registry.record_address_reuse(target, 1.0)
        self.assertEqual([], self.list_ids())
        self.assertEqual(1, len(self.pools.closed))

    def test_missing_target_is_kept_after_an_outage(self):
        """Guards against dropping targets whose leases expired in a store outage."""
        registration = build_registration()
        self.registry.apply("i-1", registration, 0.0)
        self.registry.replace_all({}, 10.0, is_after_outage=True)
        self.registry.remove_expired(10.0 + REGISTRATION_GRACE_S / 2)
        self.assertEqual(["i-1"], self.list_ids())
        self.registry.remove_expired(10.0 + REGISTRATION_GRACE_S * 1.1)
        self.assertEqual([], self.list_ids())

    def test_target_that_registers_again_is_kept(self):
        """Guards against removing a target that has registered again."""
        registration = build_registration()
        self.registry.apply("i-1", registration, 0.0)
        self.registry.replace_all({}, 10.0, is_after_outage=True)
        self.registry.apply("i-1", registration, 11.0)
        self.registry.remove_expired(10.0 + REGISTRATION_GRACE_S * 1.1)
        self.assertEqual(["i-1"], self.list_ids())

    def test_listing_without_an_outage_removes_missing_targets(self):
        """Guards against requests to a target whose removal was not in a watch.

        The store had dropped the history that contained it.
        """
        self.registry.apply("i-1", build_registration(), 0.0)
        self.registry.replace_all({}, 10.0, is_after_outage=False)
        self.assertEqual([], self.list_ids())

    def test_cold_report_sets_and_ends_the_cold_period(self):
        """Guards against overloading a target that has become cold."""
        self.registry.apply("i-1", build_registration(cold_left_s=3.0), 5.0)
        self.assertEqual(8.0, self.registry.get("i-1").cold_until)
        self.registry.apply("i-1", build_registration(), 6.0)
        self.assertLess(self.registry.get("i-1").cold_until, 6.0)

    def test_late_reports_do_not_prolong_the_cold_period(self):
        """Guards against limiting targets as cold after they have warmed up.

        Reports of the time left arrive late, for example under load during a reshard.
        """
        self.registry.apply("i-1", build_registration(cold_left_s=3.0), 5.0)
        self.registry.apply("i-1", build_registration(cold_left_s=1.8), 6.9)
        self.assertEqual(8.0, self.registry.get("i-1").cold_until)

    def test_only_a_known_target_turns_cold_again(self):
        """Guards against watching the store without pauses for each new target."""
        cold = build_registration(cold_left_s=3.0)
        self.assertFalse(self.registry.apply("i-1", cold, 5.0))
        still_cold = build_registration(cold_left_s=2.0)
        self.assertFalse(self.registry.apply("i-1", still_cold, 6.0))
        late_report = build_registration(cold_left_s=0.2)
        self.assertFalse(self.registry.apply("i-1", late_report, 8.5))
        self.assertFalse(self.registry.apply("i-1", build_registration(), 9.0))
        self.assertTrue(self.registry.apply("i-1", cold, 10.0))
        self.assertFalse(self.registry.apply("i-1", None, 11.0))

    def test_second_cold_period_is_applied(self):
        """Guards against overloading a target that is cold for a second time."""
        self.registry.apply("i-1", build_registration(cold_left_s=0.5), 5.0)
        self.registry.apply("i-1", build_registration(cold_left_s=3.0), 5.2)
        self.assertEqual(8.2, self.registry.get("i-1").cold_until)
        self.registry.apply("i-1", build_registration(cold_left_s=2.0), 9.0)
        self.assertEqual(11.0, self.registry.get("i-1").cold_until)
