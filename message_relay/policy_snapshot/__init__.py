"""Snapshot of a policy's state, which the old process of a hot restart hands over to the new one.

Both processes use the same clock, so points in time are passed on unchanged.
"""

from message_relay.policy_snapshot.snapshots import PolicySnapshot
from message_relay.policy_snapshot.transfer import capture, restore

__all__ = ["PolicySnapshot", "capture", "restore"]
