"""How long an idle connection may be reused, from what is lost on reused ones and on new ones."""

from message_relay.model import AttemptResult
from message_relay.policy_state import Call, ConnectionRates, PolicyState

RESET_EWMA_WEIGHT = 1 / 16  # weight of the newest call in the shares that are reset
UNANSWERED_EWMA_WEIGHT = 1 / 32  # and in the shares that go unanswered
# Reuse counts as the cause if reused connections lose over EXCESS_LOSS_FACTOR times what new ones lose, plus
# EXCESS_LOSS_SHARE.
EXCESS_LOSS_FACTOR = 1.5
EXCESS_LOSS_SHARE = 0.05
REUSE_LIMIT_CUT_FACTOR = 0.5  # a lost call cuts the reuse limit to this share of the connection's idle time
REUSE_LIMIT_GROWTH_FACTOR = 1.25
# Messages that must not be repeated get a new connection where reused ones are reset so much more often.
EXCESS_RESET_SHARE = 0.08


def record(state: PolicyState, result: AttemptResult, call: Call) -> None:
    """Count the outcome of a call; one that is lost on an idle connection makes for shorter reuse."""
    statistics = state.statistics
    if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.RESET):
        _update_rate(statistics.reset_rates, call, result is AttemptResult.RESET, RESET_EWMA_WEIGHT)
    if result is not AttemptResult.CONNECT_FAILED:
        _update_rate(
            statistics.unanswered_rates, call, result is AttemptResult.TIMEOUT, UNANSWERED_EWMA_WEIGHT
        )
    if call.connection_idle_us < 0 or result not in (AttemptResult.TIMEOUT, AttemptResult.RESET):
        return
    # Calls that are lost on new connections just as often say nothing of how long one may be kept.
    rates = statistics.reset_rates if result is AttemptResult.RESET else statistics.unanswered_rates
    if rates.reused > EXCESS_LOSS_FACTOR * rates.new + EXCESS_LOSS_SHARE:
        # A connection was dropped unseen while it was idle: older ones are closed before a call.
        statistics.lost_idle_calls += 1
        if statistics.lost_idle_calls > 1:
            age_us = max(call.connection_idle_us, 2 * call.endpoint.group.latency_mean_us)
            statistics.idle_reuse_limit_us = min(
                statistics.idle_reuse_limit_us, int(REUSE_LIMIT_CUT_FACTOR * age_us)
            )


def _update_rate(rates: ConnectionRates, call: Call, lost: bool, ewma_weight: float) -> None:
    if call.connection_idle_us >= 0:
        rates.reused += (lost - rates.reused) * ewma_weight
    else:
        rates.new += (lost - rates.new) * ewma_weight


def record_success(state: PolicyState, call: Call) -> None:
    """A call that was answered on a connection about as old as is trusted makes for longer reuse."""
    statistics = state.statistics
    if (
        call.connection_idle_us
        > REUSE_LIMIT_CUT_FACTOR * REUSE_LIMIT_CUT_FACTOR * statistics.idle_reuse_limit_us
    ):
        raised_limit_us = int(statistics.idle_reuse_limit_us * REUSE_LIMIT_GROWTH_FACTOR)
        statistics.idle_reuse_limit_us = min(state.settings.connection_idle_timeout_us, raised_limit_us)
        statistics.lost_idle_calls = 0


def reused_connections_reset_more_often(state: PolicyState) -> bool:
    """Whether reused connections are reset so much more often that a single attempt needs a new one."""
    rates = state.statistics.reset_rates
    return rates.reused > rates.new + EXCESS_RESET_SHARE
