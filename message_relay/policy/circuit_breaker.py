"""Circuit breaker with half-open attempts.

The circuit opens when the failure rate, an EWMA over call outcomes, reaches OPEN_FAILURE_RATE. It then allows
one half-open attempt at a time, at intervals that double with each failure, with jitter. The first success
closes it; after an outage a slow start follows. In a large fleet all endpoints of a group share one circuit.
It opens after one or two failures, since three failed calls of each of hundreds of instances would overload a
recovering destination, and its half-open attempts use the token bucket of the slow start.
"""

from message_relay.model import AttemptResult
from message_relay.policy import slow_start
from message_relay.policy_state import Call, CircuitBreaker, Endpoint, PolicyState

FAILURE_EWMA_WEIGHT = 0.25  # of the newest outcome in a failure rate
OPEN_FAILURE_RATE = 0.5
FAILURES_TO_OPEN = 3  # consecutive failures that raise the failure rate from 0 to OPEN_FAILURE_RATE
TWO_FAILURES_RATE = 0.4  # reached from 0 by two consecutive failures
MAX_FAILURE_RATE_AFTER_CLOSING = OPEN_FAILURE_RATE * 0.8  # one more failure opens it again
HALF_OPEN_INTERVAL_US = 400_000  # upper bound of the first interval between half-open attempts
MAX_HALF_OPEN_INTERVAL_US = 2_500_000


def open_circuit(state: PolicyState, endpoint: Endpoint, reason: str) -> None:
    """Open the circuit, or double the half-open interval of an open one; a slow start ends.

    The time of the next half-open attempt is set to the interval from now, with jitter.
    """
    circuit = endpoint.circuit
    if not circuit.open:
        slow_start.update_target_rate(state, endpoint)
        if state.large_fleet and circuit.slow_start_since_us < 0:
            circuit.bucket.tokens = state.random.random()  # spreads the first attempts of all instances
        state.log(f"circuit opened: half-open attempts only, endpoint={endpoint.id} reason={reason}")
    circuit.open, circuit.slow_start_since_us = True, -1
    circuit.half_open_interval_us = min(
        MAX_HALF_OPEN_INTERVAL_US, circuit.half_open_interval_us * 2 or HALF_OPEN_INTERVAL_US
    )
    circuit.half_open_at_us = state.now_us + int(state.random.uniform(0.5, 1) * circuit.half_open_interval_us)


def record_failure(state: PolicyState, endpoint: Endpoint, result: AttemptResult, call: Call) -> None:
    """Open the circuit, or begin or restart a slow start, if the failure rate is high enough.

    The failure rate already includes this failure.
    """
    circuit = endpoint.circuit
    if circuit.slow_start_since_us >= 0 and circuit.failure_rate >= OPEN_FAILURE_RATE / 2:
        circuit.slow_start_since_us = state.now_us
    half_open_failed = circuit.open and call is circuit.half_open_call
    opens = (
        circuit.failure_rate >= OPEN_FAILURE_RATE or half_open_failed or _opens_early(state, circuit, result)
    )
    if opens and (result is not AttemptResult.ERROR or state.large_fleet):
        open_circuit(state, endpoint, result.value)
    elif opens:
        # Error responses show that the endpoint is reachable and may still deliver some messages: it gets the
        # initial rate of a slow start. With half-open attempts alone, those messages were lost.
        if circuit.slow_start_since_us < 0:
            state.log(f"error responses: slow start, endpoint={endpoint.id}")
        slow_start.update_target_rate(state, endpoint)
        circuit.open, circuit.half_open_interval_us, circuit.slow_start_since_us = False, 0, state.now_us


def _opens_early(state: PolicyState, circuit: CircuitBreaker, result: AttemptResult) -> bool:
    """Return whether a large fleet opens the circuit below OPEN_FAILURE_RATE.

    One failure is enough, or two time-outs; a rejection is not. Three calls of each of hundreds of instances
    would overload a recovering destination. The next success closes the circuit.
    """
    if not state.large_fleet or result is AttemptResult.REJECTED:
        return False
    return result is not AttemptResult.TIMEOUT or circuit.failure_rate >= TWO_FAILURES_RATE


def record_success(state: PolicyState, endpoint: Endpoint, transient_fault: bool) -> None:
    """Close an open circuit, with a slow start after an outage; end a slow start that is complete."""
    circuit = endpoint.circuit
    if not circuit.open:
        if slow_start.is_complete(state, circuit):
            circuit.slow_start_since_us = -1
        return
    circuit.open = False
    if transient_fault and not state.large_fleet:
        state.log(f"circuit closed: transient fault, endpoint={endpoint.id}")
    elif not state.large_fleet or circuit.failure_rate >= TWO_FAILURES_RATE * (1 - FAILURE_EWMA_WEIGHT):
        circuit.slow_start_since_us = circuit.bucket.updated_at_us = state.now_us
        # A full token for each instance, in addition to its half-open attempts, would be too many calls. In a
        # large fleet the half-open attempts have used the tokens of this bucket.
        if not state.large_fleet:
            circuit.bucket.tokens = state.random.random()
        state.log(f"circuit closed: slow start, endpoint={endpoint.id}")
    circuit.half_open_interval_us = 0
    circuit.failure_rate = min(circuit.failure_rate, MAX_FAILURE_RATE_AFTER_CLOSING)


def half_open_attempt_allowed(state: PolicyState, circuit: CircuitBreaker, fast_retry_ready: bool) -> bool:
    """Return whether an endpoint with an open circuit may get a half-open attempt now.

    None is allowed while another one is in flight. In a large fleet the attempt needs a token, unless
    ``fast_retry_ready`` is true. In a small one the half-open interval must have passed; if it has not, a
    tick is scheduled for its end.
    """
    if circuit.half_open_call is not None:
        return False
    if state.large_fleet:
        return circuit.bucket.tokens >= 1.0 or fast_retry_ready
    if state.now_us < circuit.half_open_at_us:
        state.schedule_tick(circuit.half_open_at_us)
        return False
    return True
