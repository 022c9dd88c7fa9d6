"""Tests of customers' keys, and of the headers that identify a customer to targets."""

import logging

import orjson
import testtools
import trio

from standins.platform import build_configuration
from tarragonchute import errors
from tarragonchute.customers import Customer, CustomerTable
from tarragonchute.gateway import Gateway
from tarragonchute.httpio import HttpRequest, ServerOptions
from tarragonchute.platform import decoding
from tarragonchute.platform.names import HEADER_NAMES
from tarragonchute.queries import CallerIdentity, build_outgoing

from .test_gateway import build_settings
from .trial import run_in_virtual_time

TENANTS = [
    {
        "name": "c1",
        "api-keys": ["k1", "k1b"],
        "rate-per-s": 2,
        "burst": 5,
        "priority": 0,
    },
    {"name": "c2", "api-keys": ["k2"]},
    {"name": "c3", "api-keys": []},
]


def build_configuration_with_customers(version=1, tenants=TENANTS, is_public=False):
    """Return a configuration whose routes need keys, as JSON text."""
    body = orjson.loads(build_configuration(version, ["s0", "s1"], "desk"))
    body["tenants"] = tenants
    for route in body["routes"]:
        route["public"] = is_public
    return orjson.dumps(body).decode()


def build_request(*lines):
    """Return a caller's request with additional header lines."""
    lines = [(b"host", b"h.example"), (b"request-id", b"r1"), *lines]
    headers = {name.decode(): value.decode("latin-1") for name, value in lines}
    return HttpRequest("GET", "/order/1", {}, headers, b"", b"/order/1", lines)


class CustomerTableTests(testtools.TestCase):
    """Which customer the credentials of a request identify."""

    def build(self):
        return decoding.decode_configuration(
            build_configuration_with_customers()
        ).customers

    def find(self, *credentials):
        customer = self.build().find_by_credentials(list(credentials))
        return customer and customer.name

    def test_each_key_identifies_its_holder(self):
        """Guards against a request that is charged to another customer."""
        self.assertEqual("c1", self.find(b"Bearer k1"))
        self.assertEqual("c1", self.find(b"bearer  k1b "))
        self.assertEqual("c2", self.find(b"BEARER k2"))

    def test_malformed_credentials_identify_nobody(self):
        """Guards against access by a header that is doubled, empty or malformed."""
        for credentials in (
            [],
            [b""],
            [b"Bearer"],
            [b"Bearer "],
            [b"k1"],
            [b"Basic k1"],
            [b"Bearer k1 k2"],
            [b"Bearer k1,"],
            [b"Bearer \xff\xfe"],
            [b"Bearer " + b"k" * 100_000],
            [b"Bearer k1", b"Bearer k1"],
            [b"Bearer k1", b"Bearer k2"],
        ):
            self.assertIsNone(self.find(*credentials), credentials)

    def test_key_of_two_customers_identifies_the_first(self):
        """Guards against a choice that differs between VMs, and a key in the log."""
        rows = [(Customer("a"), ["secret-key"]), (Customer("b"), ["secret-key"])]
        with self.assertLogs(level=logging.WARNING) as logs:
            table = CustomerTable(rows)
        found = table.find_by_credentials([b"Bearer secret-key"])
        self.assertEqual("a", found.name)
        self.assertNotIn("secret-key", "".join(logs.output))

    def test_allowance_and_priority(self):
        """Guards against an allowance that is lost when a configuration is decoded."""
        customer = self.build().get("c1")
        self.assertEqual(
            (2.0, 5.0, 0), (customer.rate, customer.burst, customer.priority)
        )
        self.assertFalse(self.build().get("c2").is_limited)

    def test_configuration_without_customers_needs_no_keys(self):
        """Guards against 401 in deployments that have no customers."""
        table = decoding.decode_configuration(build_configuration(1, ["s"], "desk"))
        self.assertIsNone(table.customers)
        text = build_configuration_with_customers(tenants=[])
        self.assertEqual(0, len(decoding.decode_configuration(text).customers))

    def test_customer_name_must_fit_into_a_header(self):
        """Guards against a name that adds headers to the requests to targets."""
        for name in ("a\r\nX: 1", "a b", "\xe4", None, 7):
            text = build_configuration_with_customers(
                tenants=[{"name": name, "api-keys": []}]
            )
            self.assertIsNone(decoding.decode_configuration(text), name)


class OutgoingHeaderTests(testtools.TestCase):
    """What a target learns of the caller's customer."""

    def build_head(self, identity, *lines):
        request = build_request(*lines)
        return build_outgoing(request, b"r1", HEADER_NAMES, identity).head

    def test_key_is_not_sent_and_customer_is_set(self):
        """Guards against a target that sees a key, or a customer the caller claims."""
        head = self.build_head(
            CallerIdentity(Customer("c1")),
            (b"authorization", b"Bearer k1"),
            (b"tenant", b"other"),
            (b"TENANT", b"other"),
        )
        self.assertNotIn(b"k1", head)
        self.assertNotIn(b"other", head)
        self.assertIn(b"Tenant: c1\r\n", head)

    def test_public_route_without_key_names_no_customer(self):
        """Guards against a customer that the caller of a public route claims."""
        head = self.build_head(
            CallerIdentity(None), (b"tenant", b"c1"), (b"authorization", b"Bearer x")
        )
        self.assertNotIn(b"enant", head)
        self.assertNotIn(b"Bearer", head)

    def test_headers_are_forwarded_without_customers(self):
        """Guards against a change for deployments without customers."""
        head = self.build_head(None, (b"authorization", b"Bearer k1"))
        self.assertIn(b"authorization: Bearer k1\r\n", head)


class IdentificationTests(testtools.TestCase):
    """Which requests a gateway rejects for their key."""

    def build(self, text):
        gateway = Gateway(build_settings(), HEADER_NAMES, ServerOptions())
        self.addCleanup(gateway.reactor.close)
        if text is not None:
            gateway.apply_table(decoding.decode_configuration(text))
        return gateway

    async def get_error(self, gateway, *lines):
        try:
            await gateway.handle(build_request(*lines))
        except errors.TarragonchuteError as error:
            return error
        return None

    @run_in_virtual_time
    async def test_unknown_key_is_401(self):
        """Guards against a request that runs although no customer holds its key."""
        gateway = self.build(build_configuration_with_customers())
        error = await self.get_error(gateway, (b"authorization", b"Bearer nobody"))
        self.assertEqual(401, error.status)
        self.assertNotIn("nobody", str(error))
        error = await self.get_error(gateway, (b"authorization", b"Bearer k1"))
        self.assertEqual("no_target", error.code)

    @run_in_virtual_time
    async def test_missing_configuration_is_503(self):
        """Guards against 401 from a VM that does not know the keys yet."""
        error = await self.get_error(self.build(None))
        self.assertEqual(503, error.status)

    @run_in_virtual_time
    async def test_removed_key_is_rejected(self):
        """Guards against a key that stays in use after a newer configuration."""
        gateway = self.build(build_configuration_with_customers())
        text = build_configuration_with_customers(2, [TENANTS[1]])
        gateway.apply_table(decoding.decode_configuration(text))
        older = build_configuration_with_customers(1)
        gateway.apply_table(decoding.decode_configuration(older))
        error = await self.get_error(gateway, (b"authorization", b"Bearer k1"))
        self.assertEqual(401, error.status)

    @run_in_virtual_time
    async def test_public_route_needs_no_key(self):
        """Guards against 401 on a route that is open to everybody."""
        gateway = self.build(build_configuration_with_customers(is_public=True))
        self.assertEqual("no_target", (await self.get_error(gateway)).code)

    @run_in_virtual_time
    async def test_priority_of_the_customer_goes_first(self):
        """Guards against the priority of the route where the customer has its own."""
        gateway = self.build(build_configuration_with_customers())
        priorities = []
        for key in (b"Bearer k1", b"Bearer k2"):
            request = build_request((b"authorization", key))
            now = trio.current_time()
            identified = gateway._identify(request, "r1", now)
            query = gateway._build_query(request, "r1", *identified, now)
            priorities.append((query.customer_name, query.priority, query.weight))
        self.assertEqual([("c1", 0, 2.0), ("c2", 1, 1.0)], priorities)
