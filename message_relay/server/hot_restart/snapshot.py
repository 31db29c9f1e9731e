"""What one process hands over to the next, as typed data and as the values that go over the socket.

Version 3 of the protocol: the keys of the map and the order of its values are fixed.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from message_relay.policy_snapshot import PolicySnapshot
from message_relay.server.endpoint_directory import Target
from message_relay.server.retry_after import RetryAfterScope

VERSION = 3  # another one is rejected: the new process then starts from the journal


class RetryAfterWait(NamedTuple):
    """A Retry-After that is not over, until a time in monotonic microseconds."""

    scope: RetryAfterScope
    until_us: int


class CallInFlight(NamedTuple):
    """A call of the old process with its attempts, each as (message number, attempt)."""

    endpoint: int
    attempts: list[tuple[int, int]]


class ServerSnapshot(NamedTuple):
    """Everything that the new process needs to go on as if it were the old one."""

    policy: PolicySnapshot
    list_revision: int
    targets: list[Target]
    endpoint_uids: dict[int, str]  # by the old process's endpoint numbers
    waits: list[RetryAfterWait]
    calls: list[CallInFlight]

    def to_wire(self) -> dict[str, Any]:
        """The map that goes over the socket."""
        return {
            "brain": self.policy.to_wire(),
            "rev": self.list_revision,
            "targets": self.targets,
            "endpoints": self.endpoint_uids,
            "waits": [[wait.scope.destination, wait.scope.endpoint, wait.until_us] for wait in self.waits],
            "calls": [[call.endpoint, call.attempts] for call in self.calls],
        }

    @classmethod
    def from_wire(cls, wire: dict[str, Any]) -> ServerSnapshot:
        """The reverse. LookupError, TypeError or ValueError if something lacks or is of another form."""
        return cls(
            policy=PolicySnapshot.from_wire(wire["brain"]),
            list_revision=wire["rev"],
            targets=wire["targets"],
            endpoint_uids=wire["endpoints"],
            waits=[
                RetryAfterWait(RetryAfterScope(destination, endpoint), until_us)
                for destination, endpoint, until_us in wire["waits"]
            ],
            calls=[
                CallInFlight(endpoint, [(message, attempt) for message, attempt in attempts])
                for endpoint, attempts in wire["calls"]
            ],
        )


class TransferredClient(NamedTuple):
    """A client's connection and what was read from it (see ClientConnection.export_state)."""

    descriptor: int
    state: list[Any]


class HandoverState(NamedTuple):
    """All that is handed over: the state, the listening socket and the clients' connections."""

    state: ServerSnapshot
    listener_fd: int | None
    clients: list[TransferredClient]
