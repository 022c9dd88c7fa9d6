"""Tests of the admin routes."""

import hashlib
import json

import testtools
import trio

from tarragonchute.admin import (
    AdminRoutes,
    AuditRow,
    ProposalResult,
    SettingsEntry,
    SettingsReport,
    VmTrace,
    VmVersions,
)
from tarragonchute.settings import SettingsTree, parse_subtree, replace_subtree

ROOT_DIGEST = hashlib.sha256(b"root-token").hexdigest()
TEAM_DIGEST = hashlib.sha256(b"team-token").hexdigest()
FLEET_TEXT = (
    f"[domain north]\n[operator ann]\ntoken_sha256 = {ROOT_DIGEST}\nsubtrees = *\n"
    f"[operator bob]\ntoken_sha256={TEAM_DIGEST}\nsubtrees = team/b* dataset/*\n"
)
DATASET_TEXT = (
    "[target a]\naddress = 10.0.1.1:80\ndomain = north\nslots = 2\n"
    "max_connections = 25\n[layout v1]\ns1 = a\n"
)


class Request:
    """Stands in for `httpio.HttpRequest`."""

    def __init__(self, method, path, query=None, headers=None, body=b""):
        self.method = method
        self.path = path
        self.query = query or {}
        self.headers = headers or {}
        self.body = body


class Response:
    """Stands in for `httpio.HttpResponse`."""

    def __init__(self, value, status=200, headers=None):
        self.value = json.loads(json.dumps(value))
        self.status = status
        self.headers = headers


class Backend:
    """An `AdminBackend` in memory that accepts every change at once."""

    def __init__(self, **texts):
        self.entries = {}
        self.tree = SettingsTree()
        self.removed = []
        for name, text in texts.items():
            self.store(name.replace("__", "/"), text, "ann")

    def store(self, subtree, text, operator):
        version = self.entries[subtree].version + 1 if subtree in self.entries else 1
        entry = SettingsEntry(subtree, version, text, operator, 1.0)
        self.entries[subtree] = entry
        replace_subtree(self.tree, subtree, parse_subtree(subtree, text, subtree))
        return version

    def get_tree(self):
        return self.tree

    async def read_settings(self):
        vms = [VmVersions("vm-1", {"fleet": 1}, {"fleet": 2.5})]
        return SettingsReport(list(self.entries.values()), vms)

    async def propose_change(self, subtree, content, base_version, operator):
        current = self.entries.get(subtree)
        version = current.version if current else 0
        if version != base_version:
            return ProposalResult("conflict", subtree, version, current=current)
        return ProposalResult(
            "accepted", subtree, self.store(subtree, content, operator), 2, 3
        )

    async def read_audit(self, subtree):
        return [AuditRow(1.0, "ann", subtree or "fleet", 1, 0, "c1")]

    async def explain_request(self, request_id):
        return [VmTrace("vm-1", {"request_id": request_id, "events": []})]

    async def remove_member(self, vm_id, operator):
        self.removed.append((vm_id, operator))
        return 9


class AdminTests(testtools.TestCase):
    """Routes, tokens and edits."""

    def ask(self, method, path, token="root-token", body=None, query=None):
        """Return the response of the routes to one request."""
        headers = {"authorization": f"Bearer {token}"} if token else {}
        data = json.dumps(body).encode() if body is not None else b""
        request = Request(method, path, query, headers, data)
        return trio.run(self.routes.handle, request)

    def propose(self, subtree, content, base_version, token="root-token"):
        """Return the response to a proposed change."""
        body = {"content": content, "base_version": base_version}
        return self.ask("PUT", f"/v1/settings/{subtree}", token, body)

    def use(self, backend):
        """Serve this backend."""
        self.backend = backend
        self.routes = AdminRoutes(backend, Response, hashlib.sha256(b"b").hexdigest())

    def setUp(self):
        super().setUp()
        self.use(Backend(fleet=FLEET_TEXT, dataset__d=DATASET_TEXT))

    def test_tokens(self):
        """Guards against access without a token that settings name."""
        for token, status in (
            ("", 401),
            ("wrong", 401),
            ("b", 401),  # the bootstrap token, once operators exist
            ("team-token", 200),
        ):
            self.assertEqual(status, self.ask("GET", "/v1/audit", token).status)

    def test_bootstrap_token_opens_an_empty_fleet_only(self):
        """Guards against nobody being able to enter the first settings."""
        self.use(Backend())
        self.assertEqual(401, self.ask("GET", "/v1/audit", "root-token").status)
        self.assertEqual(200, self.propose("dataset/d", DATASET_TEXT, 0, "b").status)
        self.assertEqual(200, self.propose("fleet", FLEET_TEXT, 0, "b").status)
        self.assertEqual(401, self.ask("GET", "/v1/audit", "b").status)

    def test_nobody_enters_before_settings_are_known(self):
        """Guards against the bootstrap token opening a VM that has not read any."""
        self.use(Backend())
        self.backend.tree = None
        self.assertEqual(503, self.ask("GET", "/v1/settings", "b").status)

    def test_operators_change_only_their_subtrees(self):
        """Guards against one team editing another team or the fleet."""
        text = "[team]\ndatasets = d\n"
        for subtree, status in (("team/b", 200), ("team/a", 403), ("fleet", 403)):
            response = self.propose(subtree, text, 0, "team-token")
            self.assertEqual(status, response.status, subtree)
        response = self.ask(
            "DELETE", "/v1/members/vm-2", "team-token", query={"force": "1"}
        )
        self.assertEqual((403, []), (response.status, self.backend.removed))

    def test_answers_carry_no_digests(self):
        """Guards against digests of tokens in terminals and tickets."""
        for path in ("/v1/settings", "/v1/settings/fleet"):
            text = json.dumps(self.ask("GET", path).value)
            self.assertNotIn(ROOT_DIGEST, text)
            self.assertNotIn(TEAM_DIGEST, text)
            self.assertIn("token_sha256 = hidden", text)

    def test_hidden_digests_are_kept_by_an_edit(self):
        """Guards against an edit of a shown fleet that locks everybody out."""
        shown = self.ask("GET", "/v1/settings/fleet").value
        edited = shown["content"].replace("north]\n", "north]\nstate = out\n")
        self.assertEqual(200, self.propose("fleet", edited, 1).status)
        expected = FLEET_TEXT.replace("north]\n", "north]\nstate = out\n")
        self.assertEqual(expected, self.backend.entries["fleet"].content)
        # The base is no longer the version whose digests would be filled in.
        self.assertEqual(409, self.propose("fleet", edited, 1).status)

    def test_hidden_digest_of_a_new_operator_is_a_finding(self):
        """Guards against operators with an unusable token."""
        shown = self.ask("GET", "/v1/settings/fleet").value["content"]
        text = shown + "[operator eve]\ntoken_sha256 = hidden\nsubtrees = *\n"
        response = self.propose("fleet", text, 1)
        self.assertEqual(400, response.status)
        self.assertEqual(
            ["fleet:9: operator eve.token_sha256"],
            [finding["place"] for finding in response.value["findings"]],
        )

    def test_conflict_shows_both_edits_and_authors(self):
        """Guards against a lost edit that nobody notices."""
        mine, theirs = "[team]\ndatasets = d\n", "[team]\nweight = 2\ndatasets = d\n"
        self.propose("team/b", theirs, 0, "team-token")
        value = self.propose("team/b", mine, 0).value
        self.assertEqual("conflict", value["state"])
        yours, current = value["yours"], value["current"]
        self.assertEqual(("ann", mine), (yours["operator"], yours["content"]))
        self.assertEqual(("bob", theirs), (current["operator"], current["content"]))

    def test_edit_that_breaks_the_tree_is_refused(self):
        """Guards against a dataset that disappears under its team."""
        response = self.propose("team/b", "[team]\ndatasets = d x\n", 0)
        self.assertEqual("invalid_settings", response.value["code"])
        # A fault that is there already does not block an unrelated edit.
        self.backend.store("team/c", "[team]\ndatasets = gone\n", "ann")
        response = self.propose("team/b", "[team]\ndatasets = d\n", 0)
        self.assertEqual(200, response.status)

    def test_malformed_requests(self):
        """Guards against a fault inside the VM where the request is at fault."""
        path = "/v1/settings/team/b"
        for method, where, body, status in (
            ("PUT", path, [], 400),
            ("PUT", path, {"content": 1, "base_version": 0}, 400),
            ("PUT", path, {"content": "", "base_version": True}, 400),
            ("PUT", path, {"content": "x" * 900_001, "base_version": 0}, 413),
            ("PUT", "/v1/settings/members/main", {}, 400),
            ("GET", "/v1/settings/team/x", None, 404),
            ("POST", "/v1/status", None, 405),
            ("GET", "/v1/requests/..%2f", None, 400),
            ("GET", "/metrics", None, 404),
            ("DELETE", "/v1/members/vm-2", None, 400),
        ):
            response = self.ask(method, where, body=body)
            self.assertEqual(status, response.status, (where, body))
            self.assertIn("request_id", response.value)

    def test_member_is_removed_by_force_with_its_author(self):
        """Guards against a removal without an author in the log."""
        response = self.ask("DELETE", "/v1/members/vm-2", query={"force": "1"})
        self.assertEqual(9, response.value["epoch"])
        self.assertEqual([("vm-2", "ann")], self.backend.removed)
