"""The state of single objects as lists of values, in the order in which they go over the wire.

The order is that of version 3 of the hot restart: an earlier build writes and reads the same.
"""

from __future__ import annotations

from typing import Any

from message_relay.policy_state import Call, CircuitBreaker, Endpoint, EndpointGroup, Message

Values = list[Any]  # as they come from the wire


def group_values(group: EndpointGroup) -> Values:
    """A group's state in the order of the wire."""
    recovery = group.recovery
    return [
        group.advertised_rate_per_s,
        group.rate_limit_per_s,
        group.last_rejected_rate_per_s,
        group.bucket.tokens,
        group.bucket.updated_at_us,
        group.retry_after_until_us,
        group.rate_cut_until_us,
        group.rejection_rate,
        group.concurrency_window,
        group.consecutive_rejections,
        group.latency_mean_us,
        group.latency_deviation_us,
        group.slot_occupancy_us,
        group.slot_occupancy_at_us,
        group.success_rate_per_s,
        group.last_success_at_us,
        recovery.since_us,
        recovery.failures,
        recovery.rate_per_s,
        recovery.bucket.tokens,
        recovery.bucket.updated_at_us,
    ]


def restore_group(group: EndpointGroup, values: Values) -> None:
    """Set a group's state from its values."""
    recovery = group.recovery
    (
        group.advertised_rate_per_s,
        group.rate_limit_per_s,
        group.last_rejected_rate_per_s,
        group.bucket.tokens,
        group.bucket.updated_at_us,
        group.retry_after_until_us,
        group.rate_cut_until_us,
        group.rejection_rate,
        group.concurrency_window,
        group.consecutive_rejections,
        group.latency_mean_us,
        group.latency_deviation_us,
        group.slot_occupancy_us,
        group.slot_occupancy_at_us,
        group.success_rate_per_s,
        group.last_success_at_us,
        recovery.since_us,
        recovery.failures,
        recovery.rate_per_s,
        recovery.bucket.tokens,
        recovery.bucket.updated_at_us,
    ) = values


def endpoint_values(endpoint: Endpoint) -> Values:
    """An endpoint's state in the order of the wire."""
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


def restore_endpoint(endpoint: Endpoint, values: Values) -> None:
    """Set an endpoint's state from its values."""
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
    """A circuit breaker's state in the order of the wire."""
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


def restore_circuit(circuit: CircuitBreaker, values: Values) -> None:
    """Set a circuit breaker's state from its values."""
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
    """A call's state in the order of the wire."""
    return [
        call.sent_at_us,
        call.outcome_recorded,
        call.connection_idle_us,
        call.endpoint_was_idle,
        call.require_new_connection,
        call.connection_limit_reached,
    ]


def message_values(message: Message) -> Values:
    """A message's state in the order of the wire."""
    return [
        message.sequence,
        message.order_key,
        message.attempts,
        message.possibly_applied_at_us,
        message.possibly_applied_zone,
        message.ready_at_us,
        message.closed,
        message.streaming,
        message.fast_retry,
        message.weight,
        message.restored,
    ]


def restore_message(message: Message, values: Values) -> None:
    """Set a message's state from its values."""
    (
        message.sequence,
        message.order_key,
        message.attempts,
        message.possibly_applied_at_us,
        message.possibly_applied_zone,
        message.ready_at_us,
        message.closed,
        message.streaming,
        message.fast_retry,
        message.weight,
        message.restored,
    ) = values
