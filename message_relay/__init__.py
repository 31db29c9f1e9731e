"""message-relay: the decisions of a relay that hands messages on to destinations outside its control."""

from message_relay.policy.delivery_policy import Courier
from message_relay.model import Settings

__all__ = ["Courier", "Settings"]
