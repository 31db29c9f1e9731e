"""Circuit breakers: an endpoint that fails gets single half-open attempts with growing gaps between them."""

from message_relay.model import AttemptResult
from message_relay.policy import slow_start
from message_relay.policy_state import Call, CircuitBreaker, Endpoint, PolicyState

FAILURE_EWMA_WEIGHT = 0.25  # weight of the newest outcome in a failure rate
OPEN_FAILURE_RATE = 0.5
FAILURES_TO_OPEN = 3  # consecutive failures that raise the failure rate from 0 to OPEN_FAILURE_RATE
TWO_FAILURES_RATE = 0.4  # and two this one
MAX_FAILURE_RATE_AFTER_CLOSING = OPEN_FAILURE_RATE * 0.8  # what a first answer leaves of it at most
HALF_OPEN_INTERVAL_US = 400_000  # upper bound of the first interval between half-open attempts
MAX_HALF_OPEN_INTERVAL_US = 2_500_000


def open_circuit(state: PolicyState, endpoint: Endpoint, reason: str) -> None:
    """Allow half-open attempts only, with growing gaps that are spread by chance."""
    circuit = endpoint.circuit
    if not circuit.open:
        slow_start.update_target_rate(state, endpoint)
        if state.large_fleet and circuit.slow_start_since_us < 0:
            circuit.bucket.tokens = state.random.random()  # chance sets who may try first
        state.log(f"circuit opened: half-open attempts only, endpoint={endpoint.id} reason={reason}")
    circuit.open, circuit.slow_start_since_us = True, -1
    circuit.half_open_interval_us = min(
        MAX_HALF_OPEN_INTERVAL_US, circuit.half_open_interval_us * 2 or HALF_OPEN_INTERVAL_US
    )
    circuit.half_open_at_us = state.now_us + int(state.random.uniform(0.5, 1) * circuit.half_open_interval_us)


def record_failure(state: PolicyState, endpoint: Endpoint, result: AttemptResult, call: Call) -> None:
    """A failure has entered the failure rate: open the circuit if that says so."""
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
        # It answers, but with errors: some calls still get through, so it goes on at a slow start's first
        # pace. Half-open attempts alone lost what it still delivers.
        if circuit.slow_start_since_us < 0:
            state.log(f"endpoint answers with errors: slow start, endpoint={endpoint.id}")
        slow_start.update_target_rate(state, endpoint)
        circuit.open, circuit.half_open_interval_us, circuit.slow_start_since_us = False, 0, state.now_us


def _opens_early(state: PolicyState, circuit: CircuitBreaker, result: AttemptResult) -> bool:
    """In a large fleet one failure opens the circuit, or two calls without an answer: three of each of
    hundreds of instances are more than a recovering destination bears. The next answer closes it.
    """
    if not state.large_fleet or result is AttemptResult.REJECTED:
        return False
    return result is not AttemptResult.TIMEOUT or circuit.failure_rate >= TWO_FAILURES_RATE


def record_success(state: PolicyState, endpoint: Endpoint, transient_fault: bool) -> None:
    """Close the circuit; after an outage the endpoint starts slowly."""
    circuit = endpoint.circuit
    if not circuit.open:
        if slow_start.is_complete(state, circuit):
            circuit.slow_start_since_us = -1
        return
    circuit.open = False
    if transient_fault and not state.large_fleet:
        state.log(f"circuit closed: it was a transient fault, endpoint={endpoint.id}")
    elif not state.large_fleet or circuit.failure_rate >= TWO_FAILURES_RATE * (1 - FAILURE_EWMA_WEIGHT):
        circuit.slow_start_since_us = circuit.bucket.updated_at_us = state.now_us
        if not state.large_fleet:  # a whole token each, on top of the half-open attempts, is too much
            circuit.bucket.tokens = state.random.random()
        state.log(f"circuit closed: slow start, endpoint={endpoint.id}")
    circuit.half_open_interval_us = 0
    circuit.failure_rate = min(circuit.failure_rate, MAX_FAILURE_RATE_AFTER_CLOSING)


def half_open_attempt_allowed(state: PolicyState, circuit: CircuitBreaker, fast_retry: bool) -> bool:
    """Whether an endpoint whose circuit is open may get a half-open attempt now."""
    if circuit.half_open_call is not None:
        return False
    if state.large_fleet:
        return circuit.bucket.tokens >= 1.0 or fast_retry
    if state.now_us < circuit.half_open_at_us:
        state.schedule_tick(circuit.half_open_at_us)
        return False
    return True
