"""Bounds that follow from the settings."""

from message_relay.model import Settings
from message_relay.policy_state import Limits

# From so many instances for each slot of one: at 10 every rule that follows from it was measured to lose.
LARGE_FLEET_INSTANCES_PER_SLOT = 16
MAX_ATTEMPTS = 3  # of one message, the first included (the default of the retry design)
DESTINATION_SLOT_SHARE = 0.75  # calls in flight to one destination stay under this share of the slots
DEADLINE_MARGIN_TICKS = 3  # ticks kept free before a deadline
MIN_LOST_CALL_RATE = 0.002


def derive_limits(settings: Settings) -> Limits:
    """The bounds for an instance with these settings."""
    return Limits(
        large_fleet=settings.instance_count > LARGE_FLEET_INSTANCES_PER_SLOT * settings.call_slots,
        max_attempts=min(MAX_ATTEMPTS, settings.max_attempts),
        max_calls_per_destination=max(1, int(DESTINATION_SLOT_SHARE * settings.call_slots)),
        deadline_margin_us=DEADLINE_MARGIN_TICKS * settings.tick_interval_us,
        min_lost_call_rate=MIN_LOST_CALL_RATE,
    )
