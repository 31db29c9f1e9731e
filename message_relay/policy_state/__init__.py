"""The state that the policy decides on: data and no decisions."""

from message_relay.policy_state.entities import (
    Call,
    CallStatistics,
    CircuitBreaker,
    ConnectionRates,
    Destination,
    Endpoint,
    EndpointGroup,
    Message,
    RecoveryBudget,
    TenantQuota,
    TokenBucket,
)
from message_relay.policy_state.state import Limits, PolicyState

__all__ = [
    "Call",
    "CallStatistics",
    "CircuitBreaker",
    "ConnectionRates",
    "Destination",
    "Endpoint",
    "EndpointGroup",
    "Limits",
    "Message",
    "PolicyState",
    "RecoveryBudget",
    "TenantQuota",
    "TokenBucket",
]
