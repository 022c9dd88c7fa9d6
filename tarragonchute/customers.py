"""Customers of the operators, and the keys with which their callers identify them."""

import hashlib
import logging
import secrets

logger = logging.getLogger(__name__)

KEY_SCHEME = b"bearer"
"""Authorization scheme of the keys; the names of schemes have no case."""

DIGEST_BYTES = 16


class Customer:
    """One customer, whose callers share an allowance.

    Parameters
    ----------
    name : str
    rate : float
        Requests per second that all its callers together may send; 0 for no limit.
    burst : float
        Requests that they may send in addition after an idle time.
    priority : int or None
        0 is the most urgent; None to use the priority of the route.
    """

    __slots__ = ("name", "rate", "burst", "priority")

    def __init__(self, name, rate=0.0, burst=0.0, priority=None):
        self.name = name
        self.rate = rate
        self.burst = burst
        self.priority = priority

    @property
    def is_limited(self):
        """Whether the customer has an allowance; a burst without a rate is none."""
        return self.rate > 0


class CustomerTable:
    """The customers of one version of the configuration, with lookup by key.

    Only keyed digests are compared, so the time of a lookup says nothing about the
    keys in force.

    Parameters
    ----------
    keys_by_customer : list of (Customer, list of str)
        A key that several customers hold identifies the first of them.
    """

    __slots__ = ("_secret", "_customers", "_customers_by_digest")

    def __init__(self, keys_by_customer):
        self._secret = secrets.token_bytes(DIGEST_BYTES)
        self._customers = {}
        self._customers_by_digest = {}
        for customer, keys in keys_by_customer:
            self._customers[customer.name] = customer
            for key in keys:
                digest = self._compute_digest(key.encode())
                holder = self._customers_by_digest.setdefault(digest, customer)
                if holder is not customer:
                    # The key itself must not appear in the log.
                    logger.warning(
                        "two customers hold the same key; it identifies the first",
                        extra={"customers": [holder.name, customer.name]},
                    )

    def __len__(self):
        return len(self._customers)

    def get(self, name):
        """Return the `Customer`, or None."""
        return self._customers.get(name)

    def list_customers(self):
        """Return all customers."""
        return list(self._customers.values())

    def find_by_credentials(self, credentials):
        """Return the `Customer` that a request identifies, or None.

        Parameters
        ----------
        credentials : list of bytes
            Values of all ``Authorization`` headers of the request. More than one, or
            one of another scheme, identifies nobody.
        """
        if len(credentials) != 1:
            return None
        scheme, _, key = credentials[0].strip(b" \t").partition(b" ")
        key = key.strip(b" \t")
        if scheme.lower() != KEY_SCHEME or not key:
            return None
        return self._customers_by_digest.get(self._compute_digest(key))

    def _compute_digest(self, key):
        return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=self._secret).digest()
