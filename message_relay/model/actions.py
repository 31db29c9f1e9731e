"""Actions: what the server must carry out for the policy, in order.

Times are microseconds. RejectMessage and FailMessage are final answers.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start the message's next attempt, numbered from 0, and report TIMEOUT after the time-out.

    ``timeout_us`` is meant for the kind of connection that is likely to be used. A server that knows that it
    has to open one uses ``new_connection_timeout_us``, if that is above 0.
    """

    message: int
    endpoint: int
    timeout_us: int
    new_connection_timeout_us: int = 0
    require_new_connection: bool = False


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """End the message; the client may come back, after ``retry_after_us`` if that is above 0."""

    message: int
    retry_after_us: int = 0


@dataclass(frozen=True, slots=True)
class FailMessage:
    """End the message with no promise about its effect."""

    message: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt; its outcome still follows."""

    message: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report TimerFired with this token in the first tick after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class CheckEndpointHealth:
    """Check an endpoint's health and report HealthCheckEnded."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Send a note to another instance, or to all (peer None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class LogMessage:
    """A line for the operators' log."""

    text: str


@dataclass(frozen=True, slots=True)
class SubscribeEndpointList:
    """Subscribe to changes of the endpoint list, or end the subscription."""

    active: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Ask for the complete endpoint list once."""


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
