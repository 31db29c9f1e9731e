"""Lists of values that a hot restart sends: one for each group, endpoint, circuit, call and message.

The order of the values is part of version 3 of the hot restart protocol. It must not change, since the other
process may run an earlier build.
"""

from __future__ import annotations

from typing import Any

from message_relay.policy_state import Call, CircuitBreaker, Endpoint, EndpointGroup, Message

Values = list[Any]  # the types are not checked when a list is received


def group_values(group: EndpointGroup) -> Values:
    """Return the values of an endpoint group, in the order in which they are sent."""
    recovery = group.recovery
    return [
        group.advertised_rate_per_s,
        group.rate_limit_per_s,
        group.last_rejected_rate_per_s,
        group.bucket.tokens,
        group.bucket.updated_at_us,
        group.retry_after_until_us,
        group.rate_cut_blocked_until_us,
        group.rejection_rate,
        group.concurrency_window,
        group.consecutive_overloads,
        group.latency_mean_us,
        group.latency_deviation_us,
        group.slot_occupancy_us,
        group.slot_occupancy_at_us,
        group.success_rate_per_s,
        group.last_success_at_us,
        recovery.limited_since_us,
        recovery.failures,
        recovery.initial_traffic_per_s,
        recovery.bucket.tokens,
        recovery.bucket.updated_at_us,
    ]


def set_group_values(group: EndpointGroup, values: Values) -> None:
    """Set the fields of an endpoint group from the list that group_values returned."""
    recovery = group.recovery
    (
        group.advertised_rate_per_s,
        group.rate_limit_per_s,
        group.last_rejected_rate_per_s,
        group.bucket.tokens,
        group.bucket.updated_at_us,
        group.retry_after_until_us,
        group.rate_cut_blocked_until_us,
        group.rejection_rate,
        group.concurrency_window,
        group.consecutive_overloads,
        group.latency_mean_us,
        group.latency_deviation_us,
        group.slot_occupancy_us,
        group.slot_occupancy_at_us,
        group.success_rate_per_s,
        group.last_success_at_us,
        recovery.limited_since_us,
        recovery.failures,
        recovery.initial_traffic_per_s,
        recovery.bucket.tokens,
        recovery.bucket.updated_at_us,
    ) = values


def endpoint_values(endpoint: Endpoint) -> Values:
    """Return the values of an endpoint, in the order in which they are sent."""
    return [
        endpoint.cordoned,
        endpoint.failure_rate,
        endpoint.ambiguous_failure_rate,
        endpoint.ambiguous_failure_at_us,
        endpoint.last_success_at_us,
        endpoint.last_failure_at_us,
        endpoint.connection_limit,
        endpoint.connection_limit_at_us,
    ]


def set_endpoint_values(endpoint: Endpoint, values: Values) -> None:
    """Set the fields of an endpoint from the list that endpoint_values returned."""
    (
        endpoint.cordoned,
        endpoint.failure_rate,
        endpoint.ambiguous_failure_rate,
        endpoint.ambiguous_failure_at_us,
        endpoint.last_success_at_us,
        endpoint.last_failure_at_us,
        endpoint.connection_limit,
        endpoint.connection_limit_at_us,
    ) = values


def circuit_values(circuit: CircuitBreaker) -> Values:
    """Return the values of a circuit breaker, in the order in which they are sent."""
    return [
        circuit.failure_rate,
        circuit.open,
        circuit.half_open_at_us,
        circuit.half_open_interval_us,
        circuit.slow_start_since_us,
        circuit.target_rate_per_s,
        circuit.bucket.tokens,
        circuit.bucket.updated_at_us,
    ]


def set_circuit_values(circuit: CircuitBreaker, values: Values) -> None:
    """Set the fields of a circuit breaker from the list that circuit_values returned."""
    (
        circuit.failure_rate,
        circuit.open,
        circuit.half_open_at_us,
        circuit.half_open_interval_us,
        circuit.slow_start_since_us,
        circuit.target_rate_per_s,
        circuit.bucket.tokens,
        circuit.bucket.updated_at_us,
    ) = values


def call_values(call: Call) -> Values:
    """Return the values of a call, in the order in which they are sent."""
    return [
        call.sent_at_us,
        call.outcome_recorded,
        call.connection_idle_us,
        call.endpoint_was_idle,
        call.require_new_connection,
        call.connection_limit_reached,
    ]


def message_values(message: Message) -> Values:
    """Return the values of a message, in the order in which they are sent."""
    return [
        message.sequence,
        message.order_key,
        message.attempts,
        message.possibly_applied_at_us,
        message.possibly_applied_zone,
        message.next_attempt_at_us,
        message.closed,
        message.response_started,
        message.fast_retry_allowed,
        message.weight,
        message.restored,
    ]


def set_message_values(message: Message, values: Values) -> None:
    """Set the fields of a message from the list that message_values returned."""
    (
        message.sequence,
        message.order_key,
        message.attempts,
        message.possibly_applied_at_us,
        message.possibly_applied_zone,
        message.next_attempt_at_us,
        message.closed,
        message.response_started,
        message.fast_retry_allowed,
        message.weight,
        message.restored,
    ) = values
