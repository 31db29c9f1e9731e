"""The policy's state for a hot restart: typed, no decision.

Times stay on the clock that both processes share.
"""

from message_relay.policy_snapshot.snapshots import PolicySnapshot
from message_relay.policy_snapshot.transfer import capture, restore

__all__ = ["PolicySnapshot", "capture", "restore"]
