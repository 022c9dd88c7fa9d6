"""Classifies each target as cold, warm, draining or dead.

The target's answers take precedence. Its status endpoint lags behind and can be wrong,
so it may only lower the limit, or change the state from draining or dead to cold.
"""

import logging
import random
import statistics

from .limits import COLD, DEAD, DRAINING, WARM, TargetLimiter

logger = logging.getLogger(__name__)

STATUS_PERIOD_S = 1.0
DRAINING_PROBE_PERIOD_S = 2.0
FIRST_STATUS_WAIT_S = 0.1  # a read takes a few ms, even on a new connection
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 5.0
BACKOFF_JITTER = 0.5  # fraction of the delay; spreads out the probes of many holders
SLOW_FACTOR = 5.0  # multiple of the warm median latency
SLOW_ANSWERS_TO_RELEARN = 32  # a lasting latency change resets the warm median
MAX_LATENCY_SAMPLES = 32
ANSWERS_PER_MEDIAN = 8  # a median for every answer would cost 3 µs each

_GOOD_STATES = (None, WARM)


class TargetHealth:
    """Classifies targets and schedules their status probes.

    Parameters
    ----------
    limiter : TargetLimiter
    random : random.Random, optional
        Source of jitter, by default the module `random`; pass a seeded one for a
        repeatable run.
    """

    __slots__ = ("_limiter", "_random")

    def __init__(self, limiter=None, random=random):
        self._limiter = limiter or TargetLimiter()
        self._random = random

    def reset(self, row, now, reason):
        """Reset a target to cold and schedule its status probe soon."""
        row.probe_delay = 0.0
        row.probe_due_at = now + STATUS_PERIOD_S * self._random.random()
        self._set_state(row, COLD, reason)

    def reset_gained(self, row, now):
        """Reset a gained target; the caller must read its status immediately.

        The target gets no requests until the read completes or `FIRST_STATUS_WAIT_S`
        has passed: it may be draining, which only its previous holder knows.
        """
        self.reset(row, now, "it was gained")
        row.is_probing = True
        row.first_status_by = now + FIRST_STATUS_WAIT_S

    def end_first_status_wait(self, row, now, was_paused):
        """Allow requests to a gained target if its first status is overdue.

        Parameters
        ----------
        row : TargetRow
        now : float
            Seconds on the local monotonic clock.
        was_paused : bool
            Whether this VM did not run for most of the wait. The wait then
            restarts, because the status may have arrived but not been read.
        """
        if row.first_status_by is None or now < row.first_status_by:
            return
        row.first_status_by = now + FIRST_STATUS_WAIT_S if was_paused else None

    def handle_answer(self, row, answer, latency, is_alone, sequence, now):
        """Update a target's state after an answer or a failure.

        Parameters
        ----------
        row : TargetRow
        answer : targets.TargetAnswer
        latency : float
            Seconds from dispatch to answer.
        is_alone : bool
            Whether no other request to the target was in flight at the same time.
        sequence : int
            Number of the dispatch.
        now : float
            Seconds on the local monotonic clock.
        """
        row.last_answer_at = now
        code = answer.code
        if code == "ok" or answer.state is not None:
            self._limiter.record_response(row)
        if code == "connect_failed":
            self._handle_connect_failure(row, now)
        elif row.state in (DRAINING, DEAD):
            # Answers to earlier requests still arrive in these states; only a probe
            # may end them.
            return
        elif code == "draining" or answer.state == DRAINING:
            self._handle_draining(row, now, "an answer says draining")
        elif code == "connection_lost":
            self._set_state(row, COLD, "a connection was lost")
        elif self._has_restarted(row, answer):
            self._set_state(row, COLD, "the boot id changed")
        elif answer.state == COLD:
            self._set_state(row, COLD, "an answer says cold")
            self._record_latency(row, latency)
        else:
            self._handle_performance(row, answer, latency, is_alone, sequence)

    def handle_status(self, row, state, now):
        """Update a target's state after a read of its status endpoint.

        Parameters
        ----------
        row : TargetRow
        state : str or None
            State that the target reports; None if it could not be read.
        now : float
            Seconds on the local monotonic clock.
        """
        row.is_probing = False
        row.first_status_by = None
        row.last_probe_at = now
        if state == DRAINING:
            self._handle_draining(row, now, "the status says draining")
        elif row.state == DEAD and state is None:
            self._delay_next_probe(row, now)
        elif row.state in (DRAINING, DEAD) and state is not None:
            self.reset(row, now, f"the status says {state} again")
        elif state == COLD and row.state == WARM:
            self._set_state(row, COLD, "the status says cold")

    def start_due_probe(self, row, now):
        """Mark a probe as started and return True if one is due and none is running."""
        if row.is_probing or now < row.probe_due_at:
            return False
        row.is_probing = True
        period = DRAINING_PROBE_PERIOD_S if row.state == DRAINING else STATUS_PERIOD_S
        row.probe_due_at = now + period
        return True

    def _set_state(self, row, state, reason):
        if state != row.state:
            logger.info(
                "target %s judged %s, was %s: %s",
                row.target_id,
                state,
                row.state,
                reason,
            )
            row.latencies.clear()
            if state == COLD and row.warm_median is not None:
                # Slow answers are expected until the target answers, so that neither
                # the holder nor the entry VMs queue as many requests as for a warm one.
                row.median_latency = row.warm_median * SLOW_FACTOR
        row.state = state
        if state == COLD:
            self._limiter.restart(row)
        else:
            self._limiter.update(row)

    def _handle_connect_failure(self, row, now):
        if row.state == DEAD:
            # Concurrent requests fail together; only probes increase the delay.
            return
        row.probe_delay = 0.0
        self._set_state(row, DEAD, "a connection could not be opened")
        self._delay_next_probe(row, now)

    def _handle_draining(self, row, now, reason):
        if row.state != DRAINING:
            row.probe_due_at = now + DRAINING_PROBE_PERIOD_S
        self._set_state(row, DRAINING, reason)

    def _delay_next_probe(self, row, now):
        delay = row.probe_delay * 2 or FIRST_BACKOFF_S
        row.probe_delay = min(delay, MAX_BACKOFF_S)
        jitter = 1.0 + BACKOFF_JITTER * (2 * self._random.random() - 1)
        row.probe_due_at = now + row.probe_delay * jitter

    def _has_restarted(self, row, answer):
        if answer.boot_id is None or answer.boot_id == row.boot_id:
            return False
        is_known = row.boot_id is not None
        row.boot_id = answer.boot_id
        return is_known

    def _handle_performance(self, row, answer, latency, is_alone, sequence):
        code = answer.code
        if code == "shedding":
            self._limiter.record_shed(row, sequence)
        elif code in ("ok", "timed_out") and self._is_slow(row, latency, is_alone):
            self._handle_slow_answer(row, latency)
        elif code == "ok" and answer.state in _GOOD_STATES:
            self._handle_good_answer(row, latency)
        elif code in ("timed_out", "wrong_answer"):
            self._limiter.record_bad_answer(row)

    def _is_slow(self, row, latency, is_alone):
        median = row.warm_median
        return is_alone and median is not None and latency > SLOW_FACTOR * median

    def _handle_slow_answer(self, row, latency):
        row.slow_answers += 1
        if row.slow_answers >= SLOW_ANSWERS_TO_RELEARN:
            row.slow_answers = 0
            row.warm_median = None
        ratio = latency / row.warm_median if row.warm_median else SLOW_FACTOR
        self._set_state(row, COLD, f"latency rose to {ratio:.1f} times the warm median")

    def _handle_good_answer(self, row, latency):
        row.slow_answers = 0
        self._record_latency(row, latency)
        if self._limiter.record_good_answer(row) and row.state == COLD:
            self._set_state(row, WARM, "slow start reached the full limit")

    def _record_latency(self, row, latency):
        row.latencies.append(latency)
        count = len(row.latencies)
        if count % ANSWERS_PER_MEDIAN == 0 or count < ANSWERS_PER_MEDIAN:
            row.median_latency = statistics.median(row.latencies)
            if row.state == WARM:
                row.warm_median = row.median_latency
        if count >= MAX_LATENCY_SAMPLES:
            del row.latencies[:ANSWERS_PER_MEDIAN]
