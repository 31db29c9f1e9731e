"""Bounds derived from the settings, among them whether the fleet counts as large.

In a large fleet each instance sends few calls, so that its own statistics are weak evidence, and a minimum
rate granted to each instance adds up over the fleet. Many rules of the policy differ there.
"""

from message_relay.model import Settings
from message_relay.policy_state import Limits

# Per call slot of one instance. With a threshold of 10, each of the large-fleet rules made the results worse.
LARGE_FLEET_INSTANCES_PER_SLOT = 16
MAX_ATTEMPTS = 3  # of one message, the first included (the default of the retry design)
DESTINATION_SLOT_SHARE = 0.75  # of the call slots, for calls to one destination
DEADLINE_MARGIN_TICKS = 3  # attempts have to end this long before the deadline
MIN_LOST_CALL_RATE = 0.002  # lower bound of the estimated share of lost calls


def derive_limits(settings: Settings) -> Limits:
    """Return the bounds for an instance with these settings."""
    return Limits(
        large_fleet=settings.instance_count > LARGE_FLEET_INSTANCES_PER_SLOT * settings.call_slots,
        max_attempts=min(MAX_ATTEMPTS, settings.max_attempts),
        max_calls_per_destination=max(1, int(DESTINATION_SLOT_SHARE * settings.call_slots)),
        deadline_margin_us=DEADLINE_MARGIN_TICKS * settings.tick_interval_us,
        min_lost_call_rate=MIN_LOST_CALL_RATE,
    )
