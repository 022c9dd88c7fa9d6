"""Tests of the versioned settings and of proposed changes."""

import itertools
import logging

import testtools
import trio
import trio.testing

from tarragonchute import configuration
from tarragonchute.configuration import (
    Configuration,
    Proposal,
    ProposalState,
    SubtreeValue,
    propose_change,
)
from tarragonchute.errors import (
    FindingsError,
    ProtocolError,
    SettingsConflictError,
    SettingsTooLargeError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tarragonchute.store import Entry

KEY = "settings/fleet"
OLD = "[domain north]\nstate = in\n"
NEW = "[domain north]\nstate = out\n"


class FakeStore:
    """A store of one key with compare-and-swap and a scripted fault for each call.

    Faults: ``ok``: none. ``down``: the store is unavailable. ``lost``: the write
    takes effect, but its response is lost. ``dropped``: the write is lost, which its
    sender cannot know. ``late``: the write is delayed until the next call that
    reaches the store. ``raced``: another operator writes first. ``raced_lost``: the
    same, and the response is lost as well. ``hang``: no response at all.
    """

    def __init__(self, faults=()):
        self.faults = list(faults)
        self.entry = None
        self.revision = 0
        self.late = []
        self.log = []

    async def get(self, key):
        await trio.lowlevel.checkpoint()
        fault = self._next_fault()
        if fault == "hang":
            await trio.sleep_forever()
        if fault == "down":
            raise StoreUnavailableError
        self._deliver_late()
        return self.entry

    async def put(self, key, value, expect, lease=None):
        await trio.lowlevel.checkpoint()
        fault = self._next_fault()
        if fault == "hang":
            await trio.sleep_forever()
        if fault == "down":
            raise StoreUnavailableError
        if fault.startswith("raced"):
            bob = Proposal("fleet", self.version, NEW, "bob", "id-bob", 1.0)
            self.write(bob.build_value(self.value))
        if fault == "late":
            self._deliver_late()
            self.late.append((value, expect))
            raise StoreOutcomeUnknownError
        if fault != "dropped":
            self._deliver_late()
            self._swap(value, expect, fault)
        if fault in ("lost", "dropped", "raced_lost"):
            raise StoreOutcomeUnknownError
        return self.revision

    @property
    def version(self):
        return self.value.version if self.entry else 0

    @property
    def value(self):
        return SubtreeValue.from_value(self.entry.value)

    def write(self, value):
        self.revision += 1
        self.entry = Entry(KEY, value.to_value(), self.revision)
        self.log.append([record.change_id for record in value.records])

    def _swap(self, text, expect, fault):
        current = self.entry.revision if self.entry else 0
        if current == expect:
            self.write(SubtreeValue.from_value(text))
        elif fault != "raced_lost":
            raise StoreConflictError(entry=self.entry)

    def _deliver_late(self):
        for text, expect in self.late:
            self._swap(text, expect, "raced_lost")
        self.late = []

    def _next_fault(self):
        return self.faults.pop(0) if self.faults else "ok"


def make_value(version, content=OLD, author="ann", change_id="id-0"):
    proposal = Proposal("fleet", version - 1, content, author, change_id, 1.0)
    return proposal.build_value(None)


def propose(store, proposal=None, accepts=True, known_version=0):
    """Run a proposal on a mock clock and return its result."""
    proposal = proposal or Proposal("fleet", 1, NEW, "ann", "id-ann", 2.0)

    async def wait_for_majority(subtree, value):
        if not accepts:
            await trio.sleep_forever()

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(
        propose_change, store, proposal, wait_for_majority, known_version, clock=clock
    )


class SubtreeValueTests(testtools.TestCase):
    """Encoding of the value in the store."""

    def test_round_trip(self):
        """Guards against losing content or audit records in the store."""
        value = make_value(3, NEW)
        again = SubtreeValue.from_value(value.to_value())
        self.assertEqual(value.to_body(), again.to_body())

    def test_too_large_value_is_rejected(self):
        """Guards against a write that the store rejects with an unclear error."""
        text = "[a]\nb = " + "x" * configuration.MAX_SUBTREE_BYTES
        value = SubtreeValue(1, text)
        self.assertRaises(SettingsTooLargeError, value.to_value)

    def test_malformed_value_is_a_protocol_error(self):
        """Guards against a malformed value in the store that crashes the VM."""
        for text in ("", "[]", "{}", '{"version": 1, "content": "", "audit": [1]}'):
            self.assertRaises(ProtocolError, SubtreeValue.from_value, text)


class ConfigurationTests(testtools.TestCase):
    """Versions and acknowledgements as known to one VM."""

    def test_never_applies_a_lower_version(self):
        """Guards against reverting to an older version, in any order of arrival."""
        for order in itertools.permutations([1, 2, 3, 3]):
            state = Configuration()
            highest = 0
            for version in order:
                is_applied = state.apply("fleet", make_value(version))
                self.assertEqual(version > highest, is_applied)
                highest = max(highest, version)
                self.assertEqual(highest, state.version_of("fleet"))

    def test_digest_depends_on_the_version_vector(self):
        """Guards against different settings with the same digest in heartbeats."""
        one, other = Configuration(), Configuration()
        self.assertEqual(one.digest(), other.digest())
        one.apply("fleet", make_value(1))
        one.apply("team/a", make_value(2))
        other.apply("team/a", make_value(2))
        self.assertNotEqual(one.digest(), other.digest())
        other.apply("fleet", make_value(1))
        self.assertEqual(one.digest(), other.digest())

    def test_lists_only_subtrees_newer_than_the_peers(self):
        """Guards against sending a peer the whole tree, or too few subtrees."""
        one, other = Configuration(), Configuration()
        one.apply("fleet", make_value(2))
        one.apply("team/a", make_value(1))
        other.apply("fleet", make_value(1))
        other.apply("team/a", make_value(1))
        other.apply("team/b", make_value(1))
        newer = one.list_newer_than(other.version_vector())
        self.assertEqual(["fleet"], list(newer))
        self.assertTrue(other.is_behind(one.version_vector()))
        self.assertTrue(one.is_behind(other.version_vector()))
        other.apply("fleet", newer["fleet"])
        self.assertFalse(other.is_behind(one.version_vector()))

    def test_accepted_needs_a_majority_of_each_set(self):
        """Guards against ``accepted`` while a majority may still work without it."""
        state = Configuration()
        sets = [["a", "b", "c"], ["c", "d"]]
        for vm_id, expected in (("a", False), ("c", False), ("d", True)):
            state.record_acknowledgement(vm_id, {"fleet": 2})
            self.assertEqual(expected, state.is_accepted("fleet", 2, sets))
        self.assertFalse(state.is_accepted("fleet", 3, sets))
        state.drop_acknowledgements(["a"])
        self.assertFalse(state.is_accepted("fleet", 2, sets))

    def test_writes_back_when_the_store_regressed(self):
        """Guards against losing an accepted change when the store loses writes."""
        state = Configuration()
        state.apply("fleet", make_value(3))
        with self.assertLogs(configuration.logger, "WARNING") as logs:
            self.assertEqual(
                3, state.find_value_to_write_back("fleet", make_value(2)).version
            )
            self.assertEqual(3, state.find_value_to_write_back("fleet", None).version)
        self.assertIn("store_regressed", logs.output[0])
        self.assertIsNone(state.find_value_to_write_back("fleet", make_value(3)))
        self.assertIsNone(state.find_value_to_write_back("team/a", None))


class ProposeChangeTests(testtools.TestCase):
    """Outcomes of `propose_change`."""

    def setUp(self):
        super().setUp()
        configuration.logger.setLevel(logging.ERROR)
        self.addCleanup(configuration.logger.setLevel, logging.NOTSET)

    def make_store(self, *faults):
        store = FakeStore(faults)
        store.write(make_value(1))
        return store

    def test_accepted(self):
        """Guards against a change that is written without its audit record."""
        store = self.make_store()
        result = propose(store)
        self.assertEqual(ProposalState.ACCEPTED, result.state)
        self.assertEqual(2, store.version)
        record = store.value.records[-1]
        self.assertEqual(("ann", "id-ann", 1, 2), self.summarize(record))
        (change,) = record.changes
        self.assertEqual(["domain north.state", "in", "out"], change.to_body())

    def summarize(self, record):
        return record.who, record.change_id, record.from_version, record.to_version

    def test_creates_a_subtree(self):
        """Guards against a conflict when the subtree does not exist yet."""
        store = FakeStore()
        result = propose(store, Proposal("fleet", 0, NEW, "ann", "id-ann", 2.0))
        self.assertEqual(ProposalState.ACCEPTED, result.state)
        self.assertEqual(1, store.version)

    def test_pending_without_a_majority(self):
        """Guards against ``accepted`` before a majority has acknowledged the change."""
        store = self.make_store()
        result = propose(store, accepts=False)
        self.assertEqual(ProposalState.PENDING, result.state)
        self.assertEqual(2, result.version)

    def test_outdated_base_version_is_a_conflict_with_both_edits(self):
        """Guards against overwriting a change of another operator."""
        store = self.make_store()
        store.write(make_value(2, NEW, "bob", "id-bob"))
        result = propose(store)
        self.assertEqual(ProposalState.CONFLICT, result.state)
        self.assertIsInstance(result.error, SettingsConflictError)
        self.assertEqual("ann", result.error.own.author)
        self.assertEqual(["bob"], [edit.author for edit in result.error.others])
        self.assertIn("bob", str(result.error))
        self.assertIn("id-bob", store.value.records[-1].change_id)

    def test_too_large_and_malformed_write_nothing(self):
        """Guards against storing a value that no VM can parse."""
        huge = "[a]\nb = " + "x" * configuration.MAX_SUBTREE_BYTES
        for text, error in ((huge, SettingsTooLargeError), ("x", FindingsError)):
            store = self.make_store()
            proposal = Proposal("fleet", 1, text, "ann", "id-ann", 2.0)
            self.assertRaises(error, propose, store, proposal)
            self.assertEqual(1, store.version)

    def test_store_older_than_this_vm_is_not_written(self):
        """Guards against a second change with the version of an accepted one."""
        store = self.make_store()
        result = propose(store, known_version=2)
        self.assertEqual(ProposalState.NOT_RUN, result.state)
        self.assertIn("store_regressed", str(result.error))
        self.assertEqual(1, store.version)

    def test_reports_the_true_outcome_under_every_fault_sequence(self):
        """Guards against reporting the wrong outcome after a lost response.

        Runs every sequence of three faults on the first three writes and compares the
        reported outcome with everything that the store held, late writes included.
        """
        faults = ("ok", "down", "lost", "dropped", "late", "raced", "raced_lost")
        states = set()
        for sequence in itertools.product(faults, repeat=3):
            store = self.make_store("ok", *sequence)
            state = propose(store).state
            store._deliver_late()
            states.add(state)
            written = sum(1 for ids in store.log if ids[-1:] == ["id-ann"])
            self.check_report(sequence, state, written)
        self.assertEqual(
            {ProposalState.ACCEPTED, ProposalState.CONFLICT, ProposalState.NOT_RUN},
            states,
        )

    def check_report(self, sequence, state, written):
        if state is ProposalState.ACCEPTED:
            self.assertEqual(1, written, sequence)
        else:
            self.assertEqual(0, written, sequence)

    def test_unknown_while_the_store_stays_unavailable(self):
        """Guards against ``not_run`` for a write that took effect."""
        for first in ("lost", "dropped", "late"):
            store = self.make_store("ok", first, *["down"] * 1000)
            result = propose(store)
            self.assertEqual(ProposalState.UNKNOWN, result.state, first)

    def test_unresponsive_store_is_not_run_or_unknown(self):
        """Guards against an operator's call that never returns."""
        result = propose(self.make_store("hang"))
        self.assertEqual(ProposalState.NOT_RUN, result.state)
        result = propose(self.make_store("ok", "hang"))
        self.assertEqual(ProposalState.UNKNOWN, result.state)

    def test_unreachable_store_is_not_run(self):
        """Guards against ``unknown`` when no write was sent."""
        for faults in (["down"], ["ok", "down"]):
            result = propose(self.make_store(*faults))
            self.assertEqual(ProposalState.NOT_RUN, result.state)
