"""State of a delivery policy. The rules that read and change it are in ``message_relay.policy``."""

from message_relay.policy_state.entities import (
    SHUT_DOWN_FAILURE_RATE,
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
    "SHUT_DOWN_FAILURE_RATE",
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
