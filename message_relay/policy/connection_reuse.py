"""Reuse limit of idle connections: the idle time up to which a connection is used for another call.

An endpoint or a proxy may drop an idle connection silently, and the next call on it is lost. If calls on
reused connections are lost clearly more often than on new ones, the reuse limit is cut below the idle time of
the connection of a lost call; successes after long idle times raise it again. The evidence is two pairs of
EWMAs over all calls of the instance: the shares of reset and of timed-out calls, on new and on reused
connections.
"""

from message_relay.model import AttemptResult
from message_relay.policy_state import Call, ConnectionRates, PolicyState

RESET_EWMA_WEIGHT = 1 / 16  # of the newest call in the shares of reset calls
TIMEOUT_EWMA_WEIGHT = 1 / 32  # of the newest call in the shares of timed-out calls
# Reuse is taken as the cause of losses if their share on reused connections exceeds EXCESS_LOSS_FACTOR times
# that on new connections, plus EXCESS_LOSS_SHARE.
EXCESS_LOSS_FACTOR = 1.5
EXCESS_LOSS_SHARE = 0.05
REUSE_LIMIT_CUT_FACTOR = 0.5  # a lost call cuts the reuse limit to this share of the connection's idle time
REUSE_LIMIT_GROWTH_FACTOR = 1.25
# Excess of the reset share on reused connections above which non-idempotent messages get a new one.
EXCESS_RESET_SHARE = 0.08


def record(state: PolicyState, result: AttemptResult, call: Call) -> None:
    """Record the outcome of a call, and cut the reuse limit if the call was lost because of reuse.

    The first such loss since the limit was last raised is taken as random; each further one cuts the limit.
    """
    statistics = state.statistics
    if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.RESET):
        _update_rate(statistics.reset_rates, call, result is AttemptResult.RESET, RESET_EWMA_WEIGHT)
    if result is not AttemptResult.CONNECT_FAILED:
        _update_rate(statistics.timeout_rates, call, result is AttemptResult.TIMEOUT, TIMEOUT_EWMA_WEIGHT)
    if call.connection_idle_us < 0 or result not in (AttemptResult.TIMEOUT, AttemptResult.RESET):
        return
    # If calls on new connections are lost about as often, the idle time is not the cause.
    rates = statistics.reset_rates if result is AttemptResult.RESET else statistics.timeout_rates
    if rates.reused > EXCESS_LOSS_FACTOR * rates.new + EXCESS_LOSS_SHARE:
        # The connection was dropped silently while it was idle: those idle for longer must not be reused.
        statistics.calls_lost_on_reuse += 1
        if statistics.calls_lost_on_reuse > 1:
            idle_us = max(call.connection_idle_us, 2 * call.endpoint.group.latency_mean_us)
            statistics.idle_reuse_limit_us = min(
                statistics.idle_reuse_limit_us, int(REUSE_LIMIT_CUT_FACTOR * idle_us)
            )


def _update_rate(rates: ConnectionRates, call: Call, lost: bool, ewma_weight: float) -> None:
    if call.connection_idle_us >= 0:
        rates.reused += (lost - rates.reused) * ewma_weight
    else:
        rates.new += (lost - rates.new) * ewma_weight


def record_success(state: PolicyState, call: Call) -> None:
    """Raise the reuse limit after a success on a connection whose idle time was near it.

    Near means over REUSE_LIMIT_CUT_FACTOR squared, a quarter of the limit.
    """
    statistics = state.statistics
    if (
        call.connection_idle_us
        > REUSE_LIMIT_CUT_FACTOR * REUSE_LIMIT_CUT_FACTOR * statistics.idle_reuse_limit_us
    ):
        raised_limit_us = int(statistics.idle_reuse_limit_us * REUSE_LIMIT_GROWTH_FACTOR)
        statistics.idle_reuse_limit_us = min(state.settings.connection_idle_timeout_us, raised_limit_us)
        statistics.calls_lost_on_reuse = 0


def reused_connections_reset_more_often(state: PolicyState) -> bool:
    """Return whether the reset share on reused connections exceeds that on new ones by EXCESS_RESET_SHARE."""
    rates = state.statistics.reset_rates
    return rates.reused > rates.new + EXCESS_RESET_SHARE
