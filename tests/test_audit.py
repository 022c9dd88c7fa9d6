"""Tests of audit records of settings changes."""

import orjson
import testtools

from tarragonchute import audit
from tarragonchute.audit import AuditRecord, OptionChange


def make_record(number, changes=()):
    return AuditRecord("ann", 1.5, f"id-{number}", "fleet", number, number + 1, changes)


class AppendRecordTests(testtools.TestCase):
    """Limits on the number and size of records."""

    def test_keeps_the_newest_200(self):
        """Guards against a stored subtree that grows without bound."""
        records = []
        for number in range(205):
            records = audit.append_record(records, make_record(number))
        numbers = [record.from_version for record in records]
        self.assertEqual(list(range(5, 205)), numbers)

    def test_keeps_at_most_64_kilobytes(self):
        """Guards against long option values that exceed the store's value limit."""
        records = []
        change = OptionChange("a.b", "x" * 3000, "y" * 3000)
        for number in range(30):
            records = audit.append_record(records, make_record(number, [change]))
            data = orjson.dumps([record.to_body() for record in records])
            self.assertLessEqual(len(data), audit.MAX_BYTES)
        self.assertEqual(29, records[-1].from_version)
        self.assertGreater(len(records), 5)

    def test_keeps_a_record_that_alone_is_too_large(self):
        """Guards against a huge edit without any audit record."""
        changes = [OptionChange(f"a.{n}", "x" * 9000, None) for n in range(400)]
        (record,) = audit.append_record([], make_record(7, changes))
        self.assertEqual("id-7", record.change_id)
        self.assertLessEqual(len(orjson.dumps(record.to_body())), audit.MAX_BYTES)

    def test_does_not_change_its_input(self):
        """Guards against showing a record of a change that is not written yet."""
        records = [make_record(1)]
        audit.append_record(records, make_record(2))
        self.assertEqual(1, len(records))

    def test_body_round_trip(self):
        """Guards against losing a field in the store."""
        record = make_record(3, [OptionChange("a.b", None, "1")])
        data = orjson.dumps(record.to_body())
        again = AuditRecord.from_body(orjson.loads(data))
        self.assertEqual(record.to_body(), again.to_body())
        self.assertEqual(
            ["ann", 1.5, "id-3", "fleet", 3, 4, [["a.b", None, "1"]], "written"],
            list(again.to_body().values()),
        )


class ListChangesTests(testtools.TestCase):
    """Old and new values of options, and masked secrets."""

    def test_lists_added_changed_and_removed_options(self):
        """Guards against an audit record that omits a removed option."""
        changes = audit.list_changes({"a.x": "1", "a.y": "2"}, {"a.x": "3", "a.z": ""})
        self.assertEqual(
            [["a.x", "1", "3"], ["a.y", "2", None], ["a.z", None, ""]],
            [change.to_body() for change in changes],
        )

    def test_masks_secrets(self):
        """Guards against showing tokens to every reader of the audit records."""
        old = {"operator ann.token_sha256": "s3cret", "a.b.TOKEN": "s3cret"}
        new = {"operator ann.token_sha256": "s3cret2", "db.password": "s3cret3"}
        changes = audit.list_changes(old, new, secrets=["password"])
        self.assertEqual(3, len(changes))
        data = orjson.dumps([change.to_body() for change in changes])
        self.assertNotIn(b"s3cret", data)
