"""Tests of the HTTP routes of the admin port."""

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
    """Fake `httpio.HttpRequest`."""

    def __init__(self, method, path, query=None, headers=None, body=b""):
        self.method = method
        self.path = path
        self.query = query or {}
        self.headers = headers or {}
        self.body = body


class Response:
    """Fake `httpio.HttpResponse` that keeps the JSON value."""

    def __init__(self, value, status=200, headers=None):
        self.value = json.loads(json.dumps(value))
        self.status = status
        self.headers = headers


class InMemoryBackend:
    """An `AdminBackend` in memory that accepts every change at once."""

    def __init__(self, **texts):
        self.entries = {}
        self.tree = SettingsTree()
        self.removed = []
        for name, text in texts.items():
            self.store_subtree(name.replace("__", "/"), text, "ann")

    def store_subtree(self, subtree, text, operator):
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
            "accepted", subtree, self.store_subtree(subtree, content, operator), 2, 3
        )

    async def read_audit(self, subtree):
        return [AuditRow(1.0, "ann", subtree or "fleet", 1, 0, "c1")]

    async def explain_request(self, request_id):
        return [VmTrace("vm-1", {"request_id": request_id, "events": []})]

    async def remove_member(self, vm_id, operator):
        self.removed.append((vm_id, operator))
        return 9


class AdminTests(testtools.TestCase):
    """Routing, authentication and edits of settings."""

    def send_request(self, method, path, token="root-token", body=None, query=None):
        """Return the response of the routes to one HTTP request."""
        headers = {"authorization": f"Bearer {token}"} if token else {}
        data = json.dumps(body).encode() if body is not None else b""
        request = Request(method, path, query, headers, data)
        return trio.run(self.routes.handle, request)

    def propose(self, subtree, content, base_version, token="root-token"):
        """Return the response to a proposed change."""
        body = {"content": content, "base_version": base_version}
        return self.send_request("PUT", f"/v1/settings/{subtree}", token, body)

    def serve(self, backend):
        """Route requests to this backend, with the bootstrap token ``b``."""
        self.backend = backend
        self.routes = AdminRoutes(backend, Response, hashlib.sha256(b"b").hexdigest())

    def setUp(self):
        super().setUp()
        self.serve(InMemoryBackend(fleet=FLEET_TEXT, dataset__d=DATASET_TEXT))

    def test_tokens(self):
        """Guards against access with a token that the settings in force do not list."""
        for token, status in (
            ("", 401),
            ("wrong", 401),
            ("b", 401),  # the bootstrap token, invalid once operators exist
            ("team-token", 200),
        ):
            self.assertEqual(
                status, self.send_request("GET", "/v1/audit", token).status
            )

    def test_bootstrap_token_is_valid_for_an_empty_fleet_only(self):
        """Guards against a new fleet whose first settings nobody can enter.

        The bootstrap token is valid until the first fleet subtree names operators.
        """
        self.serve(InMemoryBackend())
        self.assertEqual(
            401, self.send_request("GET", "/v1/audit", "root-token").status
        )
        self.assertEqual(200, self.propose("dataset/d", DATASET_TEXT, 0, "b").status)
        self.assertEqual(200, self.propose("fleet", FLEET_TEXT, 0, "b").status)
        self.assertEqual(401, self.send_request("GET", "/v1/audit", "b").status)

    def test_requests_are_refused_before_settings_are_loaded(self):
        """Guards against a bootstrap token that is valid on a VM without settings.

        Operators may exist although this VM has not loaded the settings yet.
        """
        self.serve(InMemoryBackend())
        self.backend.tree = None
        self.assertEqual(503, self.send_request("GET", "/v1/settings", "b").status)

    def test_operators_change_only_their_subtrees(self):
        """Guards against an operator who edits another team's settings or the fleet."""
        text = "[team]\ndatasets = d\n"
        for subtree, status in (("team/b", 200), ("team/a", 403), ("fleet", 403)):
            response = self.propose(subtree, text, 0, "team-token")
            self.assertEqual(status, response.status, subtree)
        response = self.send_request(
            "DELETE", "/v1/members/vm-2", "team-token", query={"force": "1"}
        )
        self.assertEqual((403, []), (response.status, self.backend.removed))

    def test_responses_contain_no_digests(self):
        """Guards against token digests that leak into terminals and tickets."""
        for path in ("/v1/settings", "/v1/settings/fleet"):
            text = json.dumps(self.send_request("GET", path).value)
            self.assertNotIn(ROOT_DIGEST, text)
            self.assertNotIn(TEAM_DIGEST, text)
            self.assertIn("token_sha256 = hidden", text)

    def test_hidden_digests_are_kept_by_an_edit(self):
        """Guards against an edit of the displayed fleet that locks out operators.

        The text contains placeholders, which the VM has to replace by the digests in
        force.
        """
        shown = self.send_request("GET", "/v1/settings/fleet").value
        edited = shown["content"].replace("north]\n", "north]\nstate = out\n")
        self.assertEqual(200, self.propose("fleet", edited, 1).status)
        expected = FLEET_TEXT.replace("north]\n", "north]\nstate = out\n")
        self.assertEqual(expected, self.backend.entries["fleet"].content)
        # The base version is outdated, so its digests cannot be restored.
        self.assertEqual(409, self.propose("fleet", edited, 1).status)

    def test_hidden_digest_of_a_new_operator_is_a_finding(self):
        """Guards against an operator who is stored with the placeholder as a digest."""
        shown = self.send_request("GET", "/v1/settings/fleet").value["content"]
        text = shown + "[operator eve]\ntoken_sha256 = hidden\nsubtrees = *\n"
        response = self.propose("fleet", text, 1)
        self.assertEqual(400, response.status)
        self.assertEqual(
            ["fleet:9: operator eve.token_sha256"],
            [finding["place"] for finding in response.value["findings"]],
        )

    def test_conflict_shows_both_edits_and_authors(self):
        """Guards against an edit that silently overwrites a concurrent one."""
        mine, theirs = "[team]\ndatasets = d\n", "[team]\nweight = 2\ndatasets = d\n"
        self.propose("team/b", theirs, 0, "team-token")
        value = self.propose("team/b", mine, 0).value
        self.assertEqual("conflict", value["state"])
        yours, current = value["yours"], value["current"]
        self.assertEqual(("ann", mine), (yours["operator"], yours["content"]))
        self.assertEqual(("bob", theirs), (current["operator"], current["content"]))

    def test_edit_that_makes_the_tree_invalid_is_refused(self):
        """Guards against a team that refers to a dataset which does not exist."""
        response = self.propose("team/b", "[team]\ndatasets = d x\n", 0)
        self.assertEqual("invalid_settings", response.value["code"])
        # A fault that the tree already has does not block an unrelated edit.
        self.backend.store_subtree("team/c", "[team]\ndatasets = gone\n", "ann")
        response = self.propose("team/b", "[team]\ndatasets = d\n", 0)
        self.assertEqual(200, response.status)

    def test_malformed_requests(self):
        """Guards against an internal error on a request that is itself invalid."""
        path = "/v1/settings/team/b"
        for method, url_path, body, status in (
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
            response = self.send_request(method, url_path, body=body)
            self.assertEqual(status, response.status, (url_path, body))
            self.assertIn("request_id", response.value)

    def test_forced_removal_of_a_member_names_its_operator(self):
        """Guards against a removal that is logged without its operator."""
        response = self.send_request("DELETE", "/v1/members/vm-2", query={"force": "1"})
        self.assertEqual(9, response.value["epoch"])
        self.assertEqual([("vm-2", "ann")], self.backend.removed)
