"""Actions: requests of the policy that its caller carries out, in the order of the list that a tick returns.

Fields ending in ``_us`` are microseconds. ``message`` and ``endpoint`` are the numbers under which an event
introduced the message or the endpoint. RejectMessage and FailMessage are the two final answers that the
policy gives; a delivery is reported to the policy as an AttemptEnded.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start the next attempt of a message, and report its outcome as AttemptEnded.

    The attempts of a message are numbered from 0 in the order in which they are started. Attempts of one tick
    to the same endpoint may share one call, up to DestinationType.max_batch_size.
    """

    message: int
    endpoint: int
    # Time until the attempt ends as TIMEOUT, chosen for the connection that is expected to be used: a reused
    # one if the policy assumes an idle connection, else a new one.
    timeout_us: int
    # Time-out to use instead if the caller has to open a connection; 0: use timeout_us.
    new_connection_timeout_us: int = 0
    require_new_connection: bool = False  # send on a new connection even if an idle one is available


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """End the message; the client may safely submit it again."""

    message: int
    retry_after_us: int = 0  # Retry-After for the client; 0: none is given


@dataclass(frozen=True, slots=True)
class FailMessage:
    """End the message; it may have been applied, so the client must not assume that resubmission is safe."""

    message: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its AttemptEnded still follows. DeliveryPolicy does not use it."""

    message: int
    attempt: int  # number of the attempt, from 0


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Run a tick after the delay, with a TimerFired event that carries the token."""

    delay_us: int
    token: int  # identifies the timer; DeliveryPolicy always uses 0


@dataclass(frozen=True, slots=True)
class CheckEndpointHealth:
    """Check the health of an endpoint, and report HealthCheckEnded. DeliveryPolicy does not use it."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close all idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send data to another instance, which gets a GossipReceived event. DeliveryPolicy does not use it."""

    peer: int | None  # index of the receiving instance; None: all other instances
    data: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """Write one line to the operators' log."""

    text: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpointList:
    """Subscribe to changes of the endpoint list, or end the subscription.

    The policy subscribes in its first tick if Settings.endpoint_list_requires_subscription is set, and again
    after an EndpointListReceived of the form FAILED.
    """

    active: bool = True  # False: end the subscription


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Request the complete endpoint list once. DeliveryPolicy does not use it."""


Action = (
    SendAttempt
    | RejectMessage
    | FailMessage
    | CancelAttempt
    | SetTimer
    | CheckEndpointHealth
    | CloseIdleConnections
    | SendGossip
    | LogMessage
    | SubscribeEndpointList
    | FetchEndpointList
)
