"""Tests of the command line against the admin routes over loopback."""

import contextlib
import http.server
import io
import json
import os
import pathlib
import tempfile
import threading
import urllib.parse
from unittest import mock

import testtools
import trio

from tarragonchute import cli
from tarragonchute.admin import AdminRoutes, ProposalResult
from tarragonchute.commands import edit_domain_state, find_domain_state

from .test_admin import (
    DATASET_TEXT,
    FLEET_TEXT,
    ROOT_DIGEST,
    TEAM_DIGEST,
    InMemoryBackend,
    Request,
    Response,
)


class Handler(http.server.BaseHTTPRequestHandler):
    """Passes requests to `server.respond`; hangs up if that returns None."""

    def do_any(self):
        """Respond to one request."""
        url = urllib.parse.urlsplit(self.path)
        request = Request(
            self.command,
            url.path,
            dict(urllib.parse.parse_qsl(url.query)),
            {name.lower(): value for name, value in self.headers.items()},
            self.rfile.read(int(self.headers.get("content-length", 0))),
        )
        response = self.server.respond(request)
        if response is None:
            return
        data = json.dumps(response.value).encode()
        self.send_response(response.status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_PUT = do_POST = do_DELETE = do_any

    def log_message(self, *arguments):
        """Suppress the log of `http.server`."""


class CliTests(testtools.TestCase):
    """Output and exit codes of the commands."""

    def setUp(self):
        super().setUp()
        self.backend = InMemoryBackend(fleet=FLEET_TEXT, dataset__d=DATASET_TEXT)
        routes = AdminRoutes(self.backend, Response)
        server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        server.respond = lambda request: trio.run(routes.handle, request)
        self.server = server
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        address = f"127.0.0.1:{server.server_port}"
        self.variables = {
            "TARRAGONCHUTE_ADMIN": address,
            "TARRAGONCHUTE_CALLER": address,
            "TARRAGONCHUTE_TOKEN": "root-token",
        }
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def run_command(self, *arguments):
        """Run a command and return its exit code and all output."""
        out = io.StringIO()
        with (
            mock.patch.dict(os.environ, self.variables, clear=True),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            code = cli.main(list(arguments))
        return code, out.getvalue()

    def write(self, name, text):
        """Write a file and return its path."""
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def respond_with(self, status, **body):
        """Make the server send this response to every request."""
        self.server.respond = lambda request: Response(body, status)

    def test_every_command_has_an_example(self):
        """Guards against a command whose help lacks an example or the exit codes."""
        verbs = ["run", "audit", "status", "explain", "search", "book"]
        verbs += [f"settings {verb}" for verb in ("check", "show", "propose", "load")]
        verbs += ["domain in", "domain out", "members remove"]
        for verb in verbs:
            code, text = self.run_command(*verb.split(), "--help")
            self.assertEqual(0, code)
            self.assertIn(f"example:\n  tarragonchute {verb}", text)
            self.assertIn("exit codes:", text)

    def test_check_reports_findings_of_all_files(self):
        """Guards against a check that stops at the first file with findings."""
        paths = [self.write("fleet.ini", "[x]\n"), self.write("vm.ini", "[vm]\n")]
        code, text = self.run_command("settings", "check", *paths)
        self.assertEqual(2, code)
        self.assertIn("fleet.ini:1: x: unknown section", text)
        self.assertIn("vm.ini:1: vm.vm_id: option is missing", text)

    def test_proposal_exit_codes(self):
        """Guards against scripts that treat a pending or unknown change as accepted."""
        path = self.write("team.b.ini", "[team]\ndatasets = d\n")
        command = ("settings", "propose", "team/b", path, "--base", "0")
        self.assertEqual(0, self.run_command(*command)[0])
        code, text = self.run_command(*command)
        self.assertEqual(3, code)
        self.assertIn("version 1 by ann", text)
        self.assertIn("your edit of version 0 by ann", text)
        for state in ("pending", "unknown"):
            self.respond_with(504, **ProposalResult(state, "team/b", 2).to_body())
            self.assertEqual(4, self.run_command(*command)[0])
        self.server.respond = lambda request: None
        self.assertEqual(4, self.run_command(*command)[0])
        self.respond_with(503, code="store_unavailable", outcome="not_run")
        self.assertEqual(1, self.run_command(*command)[0])
        self.variables["TARRAGONCHUTE_ADMIN"] = "127.0.0.1:1"
        self.assertEqual(1, self.run_command(*command)[0])

    def test_domain_out_and_in(self):
        """Guards against an edit that loses the operators or their tokens.

        The command edits the fleet text that the VM shows, whose digests are hidden.
        """
        self.assertEqual(0, self.run_command("domain", "out", "north")[0])
        entry = self.backend.entries["fleet"]
        self.assertIn("[domain north]\nstate = out\n", entry.content)
        self.assertIn(ROOT_DIGEST, entry.content)
        code, text = self.run_command("domain", "out", "north")
        self.assertEqual((0, 2), (code, self.backend.entries["fleet"].version), text)
        self.assertEqual(0, self.run_command("domain", "in", "north")[0])
        self.assertTrue(self.backend.tree.is_domain_in_service("north"))
        self.assertEqual(1, self.run_command("domain", "out", "nowhere")[0])

    def test_domain_out_is_retried_after_a_conflict(self):
        """Guards against an unrelated edit that keeps a failing domain in service.

        The edit takes effect between reading and proposing the fleet text.
        """
        propose = self.backend.propose_change

        async def conflict_once(*arguments):
            self.backend.propose_change = propose
            self.backend.store_subtree("fleet", FLEET_TEXT + "[domain south]\n", "bob")
            return await propose(*arguments)

        self.backend.propose_change = conflict_once
        self.assertEqual(0, self.run_command("domain", "out", "north")[0])
        self.assertEqual(
            {"north": False, "south": True}, self.backend.tree.fleet.domains
        )

    def test_domain_edit_keeps_other_lines(self):
        """Guards against lost comments and a change of another domain."""
        text = "# note\n[domain a]\n[domain b]\n# why\nstate = in\n[limits]\n"
        edited = edit_domain_state(text, "b", "out")
        self.assertEqual(text.replace("= in", "= out"), edited)
        self.assertEqual("in", find_domain_state(edited, "a"))
        edited = edit_domain_state(text, "a", "out")
        self.assertEqual(
            text.replace("[domain a]\n", "[domain a]\nstate = out\n"), edited
        )

    def test_load_skips_subtrees_in_force(self):
        """Guards against a new version of a subtree whose text is unchanged."""
        self.write("fleet.ini", FLEET_TEXT)
        self.write("dataset.d.ini", DATASET_TEXT + "s2 = a\n")
        self.write("team.b.ini", "[team]\ndatasets = d\n")
        code, text = self.run_command("settings", "load", str(self.directory))
        self.assertEqual(0, code, text)
        versions = {name: entry.version for name, entry in self.backend.entries.items()}
        self.assertEqual({"fleet": 1, "dataset/d": 2, "team/b": 1}, versions)

    def test_output_has_no_secrets(self):
        """Guards against tokens or digests that leak into terminals and tickets."""
        path = self.write("fleet.ini", FLEET_TEXT + "# mine\n")
        for command in (
            ("settings", "show"),
            ("settings", "show", "fleet"),
            ("settings", "show", "--json"),
            ("settings", "propose", "fleet", path, "--base", "7"),
            ("settings", "propose", "fleet", path, "--base", "7", "--json"),
        ):
            _, text = self.run_command(*command)
            for secret in (ROOT_DIGEST, TEAM_DIGEST, "root-token"):
                self.assertNotIn(secret, text)

    def test_shown_fleet_can_be_proposed(self):
        """Guards against output of ``show`` that ``propose`` rejects.

        The output has a header line and hidden digests.
        """
        _, text = self.run_command("settings", "show", "fleet")
        path = self.write("fleet.ini", text + "[domain south]\n")
        code, text = self.run_command(
            "settings", "propose", "fleet", path, "--base", "1"
        )
        self.assertEqual(0, code, text)
        expected = FLEET_TEXT + "[domain south]\n"
        self.assertEqual(expected, self.backend.entries["fleet"].content)

    def test_reports(self):
        """Guards against a report that fails while it is printed."""
        for command in (("audit",), ("explain", "r1"), ("audit", "fleet", "--json")):
            code, text = self.run_command(*command)
            self.assertEqual(0, code, text)
        code, text = self.run_command("explain", "r1")
        self.assertIn("vm-1: no outcome known here\n", text)
        command = ("members", "remove", "vm-2", "--force")
        self.assertIn("epoch 9", self.run_command(*command)[1])

    def test_missing_token_is_wrong_usage(self):
        """Guards against a traceback when no token is configured."""
        self.variables = {"TARRAGONCHUTE_ADMIN": "127.0.0.1:1"}
        self.assertEqual(2, self.run_command("status")[0])
        self.assertEqual(2, self.run_command("settings", "paint")[0])

    def test_booking_exit_codes(self):
        """Guards against a second booking after an unknown outcome.

        Exit code 4 tells a script that the booking may have run.
        """
        command = ("book", "--team", "b", "--dataset", "d", "--shard", "s1", "{}")
        self.respond_with(200, outcome="done", result={"id": 1})
        self.assertEqual(0, self.run_command(*command)[0])
        for status, outcome, code, expected in (
            (503, "not_run", "overloaded", 1),
            (504, "unknown", "outcome_unknown", 4),
            (409, "not_run", "key_conflict", 3),
        ):
            self.respond_with(status, outcome=outcome, code=code)
            self.assertEqual(expected, self.run_command(*command)[0])
        self.server.respond = lambda request: None
        exit_code, text = self.run_command(*command, "--key", "k1", "--json")
        body = json.loads(text)
        self.assertEqual((4, "k1"), (exit_code, body["idempotency_key"]))

    def test_partial_search_names_missing_shards(self):
        """Guards against a partial result that looks complete."""
        command = ("search", "--team", "b", "--dataset", "d", "river")
        coverage = {"answered": 1, "total": 2, "missing": ["s2"]}
        self.respond_with(200, outcome="done", coverage=coverage, results=[{"t": 1}])
        code, text = self.run_command(*command)
        self.assertEqual(0, code)
        self.assertIn("coverage: 1 of 2 shards", text)
        self.assertIn("missing: s2", text)
        self.respond_with(503, code="coverage_too_low", coverage=coverage)
        self.assertEqual(1, self.run_command(*command)[0])
