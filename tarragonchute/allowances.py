"""Keeps the requests of each customer within its allowance, over all VMs together.

A request of a limited customer needs a token. This VM asks the customer's grantor for
tokens, or a deputy if the grantor does not answer (`grantroles`, `grants`).
"""

import itertools
import logging
import math

import trio

from .errors import AllowanceExceededError, AllowanceUnknownError
from .gatewaymetrics import ALLOWANCE_REQUESTS, ALLOWANCE_WAIT
from .grantmessages import Ask
from .grantroles import CONTINUE_S
from .grants import TOKEN_LEASE_S, DecayingRate

logger = logging.getLogger(__name__)

MIN_ANSWER_TIMEOUT_S = 0.015
GOAL_PART = 0.25
"""Time after which the next VM is asked: this part of the route's goal, or the minimum
if that is longer. The same times apply to subsearches."""

EXTENSION = 2.0
"""Factor on the timeout of an ask if no other VM has granted what it asked for."""

RELEASED_TOKEN_LEASE_S = 1.0
"""Time for which a released token is valid; it was granted some time before."""

MAX_ASKED_VMS = 4
"""Maximum number of VMs asked for one request. With a timeout of a quarter of the goal
each, a request that none answers fails about when its goal has passed."""

UNKNOWN_HOLD_S = 0.1
"""Time for which requests are refused after no VM has answered. It is short because the
caller's next attempt may reach a VM that is better connected."""

MAX_DEPUTY_HOLD_S = 0.5
"""Longest time for which requests are refused after the deputies have used up their
parts; the grantor may answer again meanwhile."""

MIN_RETRY_AFTER_S = 0.05
"""Shortest delay that a refused caller is asked for; shorter ones only add requests."""

LOG_INTERVAL_S = 5.0
"""Interval between the log lines about refused requests of one customer."""

GRANTED_LOCALLY = "held"
GRANTED = "granted"
REFUSED = "refused"
UNKNOWN = "unknown"
"""Results of `metrics` for one request: a token was held, was granted while the request
waited, the allowance is used up, or no VM could tell."""


class Waiter:
    """A request that waits for a token.

    Attributes
    ----------
    is_granted : bool
    error : errors.TarragonchuteError or None
        Why the request was refused.
    ended : trio.Event or None
        Set when either is known; None if it was known at once.
    """

    __slots__ = ("account", "is_granted", "error", "ended")

    def __init__(self, account):
        self.account = account
        self.is_granted = False
        self.error = None
        self.ended = None

    @property
    def is_ended(self):
        """Whether the request was granted or refused."""
        return self.is_granted or self.error is not None

    def grant(self):
        """Let the request go on."""
        self.is_granted = True
        if self.ended is not None:
            self.ended.set()

    def refuse(self, error):
        """End the request with an error."""
        self.error = error
        if self.ended is not None:
            self.ended.set()


class _PendingAsk:
    """An ask whose answer is open, or was given up when another VM was asked."""

    __slots__ = (
        "account",
        "vm_id",
        "is_for_deputy",
        "version",
        "wanted",
        "sent_at",
        "timeout_at",
        "is_extended",
    )

    def __init__(self, account, vm_id, ask, now, timeout_s):
        self.account = account
        self.vm_id = vm_id
        self.is_for_deputy = ask.is_for_deputy
        self.version = ask.version
        self.wanted = ask.wanted
        self.sent_at = now
        self.timeout_at = now + timeout_s
        self.is_extended = False


class _Account:
    """This VM's tokens, waiting requests and refusals of one customer."""

    __slots__ = (
        "customer",
        "version",
        "tokens",
        "returnable",
        "waiters",
        "pending",
        "asked",
        "timeout_s",
        "demand",
        "held_until",
        "is_hold_unknown",
        "may_ask_early",
        "deputy_hold_s",
        "spread_s",
        "refused",
        "unreported",
        "logged_at",
    )

    def __init__(self, customer, version):
        self.customer = customer
        self.version = version
        # Tokens: lists of expiry, count, and the role that granted them.
        self.tokens = []
        # Expired tokens by the role that granted them.
        self.returnable = {}
        self.waiters = []
        self.pending = None
        # Roles that were asked for the waiting requests.
        self.asked = set()
        self.timeout_s = MIN_ANSWER_TIMEOUT_S
        self.demand = DecayingRate()
        self.held_until = -math.inf
        self.is_hold_unknown = False
        # Whether the latest answer brought a spare token, and the grantor is not busy.
        self.may_ask_early = False
        # Time until a deputy that has used up its part may grant again.
        self.deputy_hold_s = 0.0
        self.spread_s = 0.0
        # Requests refused since the last ask, and since the last log line.
        self.refused = 0
        self.unreported = 0
        self.logged_at = -math.inf

    def add_tokens(self, count, expires_at, role):
        """Add tokens that were granted by a VM in a role."""
        self.tokens.append([expires_at, count, role])

    def take_token(self, now):
        """Take a token if there is a valid one; return whether there was."""
        while self.tokens:
            batch = self.tokens[0]
            if now < batch[0] and batch[1] > 0:
                batch[1] -= 1
                return True
            del self.tokens[0]
            role = batch[2]
            if batch[1] > 0 and role is not None:
                self.returnable[role] = self.returnable.get(role, 0) + batch[1]
        return False


class Allowances:
    """Grants or refuses the requests of limited customers on this VM.

    Parameters
    ----------
    own_vm : fleet.VmInfo
    roles : grantroles.RoleTable
    book : grants.GrantBook
        Answers the asks of this VM where it is grantor or deputy itself.
    links : grantlinks.GrantLinks
        Sends asks to other VMs.
    metrics : gatewaymetrics.GatewayMetrics
    random_source : random.Random
    """

    def __init__(self, own_vm, roles, book, links, metrics, random_source):
        self._own_vm = own_vm
        self._roles = roles
        self._book = book
        self._links = links
        self._metrics = metrics
        self._random = random_source
        self._accounts = {}
        self._pending = {}
        self._numbers = itertools.count(1)
        self._declined_until = {}
        self._version = 0
        self._vms = None

    def apply_customers(self, customers, version, now):
        """Apply the customers of a new version of the configuration.

        Parameters
        ----------
        customers : list of customers.Customer
        version : int
        now : float
        """
        self._version = version
        limited = {c.name: c for c in customers if c.is_limited}
        for name, customer in limited.items():
            self._book.set_limits(name, version, customer.rate, customer.burst, now)
            # From now on, this VM observes whether it is the grantor.
            self._roles.get(name, now)
        self._book.remove_customers(limited, version)
        for name, account in list(self._accounts.items()):
            customer = limited.get(name)
            if customer is None and not account.waiters:
                del self._accounts[name]
            elif customer is not None:
                self._update_account(account, customer)

    def set_vms(self, vms, now):
        """Apply the list of the VMs that are present.

        Parameters
        ----------
        vms : list of fleet.VmInfo
            The same list object as long as nothing has changed.
        now : float
        """
        if vms is self._vms:
            return
        self._vms = vms
        if self._roles.set_vms(vms, now):
            self._declined_until.clear()
            logger.info(
                "grantors of allowances may have changed",
                extra={"leaders": len(self._roles.list_vms())},
            )
        self._links.set_vms(self._roles.list_vms(), now)

    async def acquire(self, customer, goal_s, now):
        """Wait for a token for one request.

        Parameters
        ----------
        customer : customers.Customer
            A customer that has a rate.
        goal_s : float
            Response time goal of the route.
        now : float

        Raises
        ------
        AllowanceExceededError
            If the customer has used up its allowance.
        AllowanceUnknownError
            If no VM that could tell answers.
        """
        waiter = self.request(customer, goal_s, now)
        try:
            while not waiter.is_ended:
                pending = waiter.account.pending
                timeout_at = math.inf if pending is None else pending.timeout_at
                with trio.move_on_at(timeout_at):
                    await waiter.ended.wait()
                if not waiter.is_ended:
                    self.check_timeout(waiter.account, trio.current_time())
        except trio.Cancelled:
            self._abandon(waiter)
            raise
        if waiter.error is not None:
            raise waiter.error
        self._metrics.observe(ALLOWANCE_WAIT, (), trio.current_time() - now)

    def request(self, customer, goal_s, now):
        """Ask for a token for one request; return its `Waiter`."""
        account = self._accounts.get(customer.name)
        if account is None:
            account = _Account(customer, self._version)
            self._accounts[customer.name] = account
        account.demand.record(1, now)
        waiter = Waiter(account)
        if not account.waiters and account.take_token(now):
            self._grant(waiter, GRANTED_LOCALLY)
            if account.may_ask_early and not account.tokens[0][1]:
                self._ask_for_spares(account, now)
        elif now < account.held_until:
            self._refuse(account, waiter, now)
        else:
            waiter.ended = trio.Event()
            account.waiters.append(waiter)
            if account.pending is None:
                account.timeout_s = max(GOAL_PART * goal_s, MIN_ANSWER_TIMEOUT_S)
                account.asked.clear()
                account.deputy_hold_s = 0.0
                self._ask(account, now)
        return waiter

    def release(self, customer, now):
        """Take back the token of a request that was refused without having run."""
        account = self._accounts.get(customer.name)
        if account is None:
            return
        if account.waiters:
            self._grant(account.waiters.pop(0), GRANTED)
        else:
            account.add_tokens(1, now + RELEASED_TOKEN_LEASE_S, None)

    def check_timeout(self, account, now):
        """Ask the next VM if the one that was asked has not answered in time."""
        pending = account.pending
        if pending is not None and now >= pending.timeout_at:
            # A late answer may still bring tokens.
            account.pending = None
            if not pending.is_extended:
                self._links.record_timeout(pending.vm_id, now)
            if account.pending is None:
                self._ask(account, now)

    def handle_answer(self, vm_id, answer, now):
        """Handle the `Answer` of another VM."""
        pending = self._pending.pop(answer.number, None)
        if pending is None or pending.vm_id != vm_id:
            return
        account = pending.account
        if account.pending is pending:
            account.pending = None
            self._apply_answer(account, pending, answer, now)
        else:
            # Another VM was asked meanwhile. The tokens are valid nevertheless.
            role = (vm_id, pending.is_for_deputy)
            account.add_tokens(answer.granted, pending.sent_at + answer.lease_s, role)
            self._grant_waiters(account, now)
        if account.waiters and account.pending is None:
            self._ask(account, now)

    def handle_link_loss(self, vm_id, now):
        """Ask other VMs in place of one that cannot be reached."""
        for number, pending in list(self._pending.items()):
            if pending.vm_id == vm_id:
                del self._pending[number]
                account = pending.account
                if account.pending is pending:
                    account.pending = None
                    self._ask(account, now)

    def sweep(self, now):
        """Drop answers that are overdue, and write the log lines about refusals."""
        for number, pending in list(self._pending.items()):
            if now - pending.sent_at > TOKEN_LEASE_S:
                del self._pending[number]
            if pending.account.pending is pending:
                self.check_timeout(pending.account, now)
        for account in self._accounts.values():
            if account.unreported and now - account.logged_at >= LOG_INTERVAL_S:
                self._log_refusals(account, now)
        self._links.sweep(now)

    def count_held(self, now):
        """Return the number of customers whose allowance this VM keeps."""
        return self._roles.count_held(now)

    def _update_account(self, account, customer):
        if (account.customer.rate, account.customer.burst) != (
            customer.rate,
            customer.burst,
        ):
            account.held_until = -math.inf
        account.customer = customer
        account.version = self._version

    def _abandon(self, waiter):
        """Remove the waiter of a caller that has left, and take back its token."""
        account = waiter.account
        if waiter in account.waiters:
            account.waiters.remove(waiter)
        elif waiter.is_granted:
            self.release(account.customer, trio.current_time())

    def _ask(self, account, now):
        """Ask the next VM for the waiting requests, until there are none left."""
        while account.waiters:
            role = self._choose_role(account, now)
            if role is None:
                break
            account.asked.add(role)
            ask = self._build_ask(account, role, now)
            pending = _PendingAsk(account, role[0], ask, now, account.timeout_s)
            if role[0] == self._own_vm.vm_id:
                answer = self._book.answer(ask, now)
                self._apply_answer(account, pending, answer, now)
            elif self._links.send(role[0], ask, now):
                self._pending[ask.number] = account.pending = pending
                return
        if account.waiters and not self._wait_longer(account, now):
            account.is_hold_unknown = True
            account.held_until = now + max(account.deputy_hold_s, UNKNOWN_HOLD_S)
            account.spread_s = UNKNOWN_HOLD_S
            self._refuse_waiters(account, now)

    def _ask_for_spares(self, account, now):
        """Ask the grantor for tokens before the next request needs one."""
        account.may_ask_early = False
        account.asked.clear()
        role = self._choose_role(account, now)
        if account.pending is not None or role is None:
            return
        vm_id, is_for_deputy = role
        if not is_for_deputy and vm_id != self._own_vm.vm_id:
            ask = self._build_ask(account, role, now)
            if self._links.send(vm_id, ask, now):
                pending = _PendingAsk(account, vm_id, ask, now, account.timeout_s)
                self._pending[ask.number] = account.pending = pending

    def _wait_longer(self, account, now):
        """Wait once more for a late answer; return whether one is still open.

        The process of a busy grantor may be late by more than the timeout.
        """
        for pending in self._pending.values():
            if pending.account is account and not pending.is_extended:
                timeout_at = pending.sent_at + EXTENSION * account.timeout_s
                if now < timeout_at:
                    pending.is_extended = True
                    pending.timeout_at = timeout_at
                    account.pending = pending
                    return True
        return False

    def _choose_role(self, account, now):
        """Return the VM to ask, with whether it is asked as deputy, or None."""
        if len(account.asked) >= MAX_ASKED_VMS:
            return None
        for role in self._list_roles(account.customer.name, now):
            vm_id = role[0]
            if role in account.asked:
                continue
            if now < self._declined_until.get((account.customer.name, role), 0.0):
                continue
            if vm_id == self._own_vm.vm_id or self._links.is_usable(vm_id, now):
                return role
        return None

    def _list_roles(self, customer_name, now):
        """Return the VMs that may grant tokens, in the order of asking."""
        own_id = self._own_vm.vm_id
        roles = self._roles.get(customer_name, now)
        if roles.grantor_id is None:
            return [(own_id, False)]
        listed = []
        if roles.previous_id is not None and now < roles.changed_at + CONTINUE_S:
            # The new one waits until the one before has stopped.
            listed.append((roles.previous_id, False))
        listed.append((roles.grantor_id, False))
        own_deputy = roles.deputy_ids.get(self._own_vm.domain)
        if own_deputy is not None:
            listed.append((own_deputy, True))
        listed += [
            (vm_id, True) for vm_id in roles.deputy_ids.values() if vm_id != own_deputy
        ]
        return listed

    def _build_ask(self, account, role, now):
        customer = account.customer
        refused, account.refused = account.refused, 0
        return Ask(
            next(self._numbers),
            self._own_vm.vm_id,
            customer.name,
            account.version,
            customer.rate,
            customer.burst,
            role[1],
            len(account.waiters),
            account.returnable.pop(role, 0),
            round(account.demand.get(now), 3),
            refused,
        )

    def _apply_answer(self, account, pending, answer, now):
        """Give the tokens to the waiting requests, and refuse what the grantor does."""
        role = (pending.vm_id, pending.is_for_deputy)
        if answer.is_declined:
            key = (account.customer.name, role)
            self._declined_until[key] = now + answer.hold_s
            return
        account.may_ask_early = (
            answer.granted > pending.wanted and answer.lease_s > TOKEN_LEASE_S
        )
        if answer.granted:
            account.add_tokens(answer.granted, pending.sent_at + answer.lease_s, role)
        self._grant_waiters(account, now)
        if answer.granted >= pending.wanted or pending.version != account.version:
            # A refusal under an earlier configuration says nothing about this one.
            account.asked.clear()
        elif pending.is_for_deputy:
            account.deputy_hold_s = min(answer.hold_s, MAX_DEPUTY_HOLD_S)
        else:
            account.held_until = now + answer.hold_s
            account.spread_s = answer.spread_s
            account.is_hold_unknown = False
            self._refuse_waiters(account, now)

    def _grant_waiters(self, account, now):
        while account.waiters and account.take_token(now):
            self._grant(account.waiters.pop(0), GRANTED)

    def _grant(self, waiter, result):
        waiter.grant()
        self._metrics.count(ALLOWANCE_REQUESTS, (result,))

    def _refuse_waiters(self, account, now):
        waiters, account.waiters = account.waiters, []
        for waiter in waiters:
            self._refuse(account, waiter, now)

    def _refuse(self, account, waiter, now):
        """Refuse a request until the time when there may be room."""
        delay_s = max(account.held_until - now, MIN_RETRY_AFTER_S)
        delay_s += self._random.random() * account.spread_s
        name = account.customer.name
        if account.is_hold_unknown:
            error = AllowanceUnknownError(f"no VM can grant a request of {name}")
            result = UNKNOWN
        else:
            error = AllowanceExceededError(f"customer {name} has used its allowance")
            result = REFUSED
        error.retry_after_s = round(delay_s, 3)
        waiter.refuse(error)
        account.refused += 1
        account.unreported += 1
        self._metrics.count(ALLOWANCE_REQUESTS, (result,))

    def _log_refusals(self, account, now):
        logger.info(
            "requests refused by allowance",
            extra={
                "customer": account.customer.name,
                "requests": account.unreported,
                "code": "allowance_unknown"
                if account.is_hold_unknown
                else "allowance_exceeded",
            },
        )
        account.unreported = 0
        account.logged_at = now
