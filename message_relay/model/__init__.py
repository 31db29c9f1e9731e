"""Vocabulary shared by the delivery policy and its caller.

The caller is the relay server or the simulator adapter. It passes events to the policy and carries out the
actions that the policy returns. Settings are fixed for the lifetime of a policy.
"""

from message_relay.model.actions import (
    Action,
    CancelAttempt,
    CheckEndpointHealth,
    CloseIdleConnections,
    FailMessage,
    FetchEndpointList,
    LogMessage,
    RejectMessage,
    SendAttempt,
    SendGossip,
    SetTimer,
    SubscribeEndpointList,
)
from message_relay.model.enums import (
    RESULTS_NOT_APPLIED,
    AttemptResult,
    EndpointListForm,
    EndpointState,
    Idempotency,
    KeyScope,
)
from message_relay.model.events import (
    AttemptEnded,
    EndpointCordoned,
    EndpointEntry,
    EndpointListReceived,
    Event,
    GossipReceived,
    HealthCheckEnded,
    LoadReportReceived,
    MessageSubmitted,
    MessageWithdrawn,
    ResponseStarted,
    ShutdownScheduled,
    StateImported,
    TimerFired,
)
from message_relay.model.settings import DestinationType, MessageClass, Settings, Tenant

__all__ = [
    "RESULTS_NOT_APPLIED",
    "Action",
    "AttemptEnded",
    "AttemptResult",
    "CancelAttempt",
    "CheckEndpointHealth",
    "CloseIdleConnections",
    "DestinationType",
    "EndpointCordoned",
    "EndpointEntry",
    "EndpointListForm",
    "EndpointListReceived",
    "EndpointState",
    "Event",
    "FailMessage",
    "FetchEndpointList",
    "GossipReceived",
    "HealthCheckEnded",
    "Idempotency",
    "KeyScope",
    "LoadReportReceived",
    "LogMessage",
    "MessageClass",
    "MessageSubmitted",
    "MessageWithdrawn",
    "RejectMessage",
    "ResponseStarted",
    "SendAttempt",
    "SendGossip",
    "SetTimer",
    "Settings",
    "ShutdownScheduled",
    "StateImported",
    "SubscribeEndpointList",
    "Tenant",
    "TimerFired",
]
