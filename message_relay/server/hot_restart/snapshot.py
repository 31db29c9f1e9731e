"""The state that is handed over in a hot restart, as typed data and in the form sent over the socket.

The keys of the map and the order of its values are fixed in version 3 of the protocol.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from message_relay.policy_snapshot import PolicySnapshot
from message_relay.server.endpoint_directory import Target
from message_relay.server.retry_after import RetryAfterScope

# A request of another version is rejected; its sender starts from the journal when the lock is free.
VERSION = 3


class RetryAfterWait(NamedTuple):
    """A Retry-After with the time until which it applies, in monotonic microseconds."""

    scope: RetryAfterScope
    until_us: int


class CallInFlight(NamedTuple):
    """A call that the old process has in flight, with its attempts as (message number, attempt)."""

    endpoint: int
    attempts: list[tuple[int, int]]


class ServerSnapshot(NamedTuple):
    """The state of the old process that is neither in the journal nor part of a client connection.

    It consists of the policy's state, the endpoint list, the Retry-After waits and the calls in flight.
    """

    policy: PolicySnapshot
    list_revision: int
    targets: list[Target]
    endpoint_uids: dict[int, str]  # by the endpoint numbers of the old process
    waits: list[RetryAfterWait]
    calls: list[CallInFlight]

    def to_wire(self) -> dict[str, Any]:
        """Return the map that is sent over the socket."""
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
        """Build the snapshot from the map that was received.

        Raises `LookupError` if a key is missing, `TypeError` or `ValueError` if a value has another form.
        """
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
    """A client's socket and the exported state of its connection (see ClientConnection.export_state)."""

    descriptor: int
    state: list[Any]


class HandoverState(NamedTuple):
    """A complete handover: the old process's state, the listening socket and the client connections."""

    state: ServerSnapshot
    listener_fd: int | None
    clients: list[TransferredClient]
