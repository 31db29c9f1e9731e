"""Effect of the limits in load reports on the rate limit; invalid values are ignored."""

import pytest
from policy_driver import PolicyDriver, actions_of, mid_size_fleet

from message_relay.model import (
    LoadReportReceived,
    SendAttempt,
)


def test_load_report_without_a_limit_sets_no_rate():
    driver = PolicyDriver(load_report_fields=("x0", "x1"))
    driver.run_tick(
        LoadReportReceived(100, (0.0, 0.0)), LoadReportReceived(100, ()), LoadReportReceived(999, (0.5, 3.0))
    )
    assert driver.policy.state.endpoints[100].group.rate_limit_per_s == 0.0


@pytest.mark.parametrize("instance_count, limited", [(2, True), (40, True), (400, False)])
def test_reported_limit_applies_at_once_except_in_a_large_fleet(instance_count, limited):
    driver = PolicyDriver(instance_count=instance_count, call_slots=4, load_report_fields=("x0", "x1"))
    driver.run_tick(LoadReportReceived(100, (0.5, 40.0)))
    group = driver.policy.state.endpoints[100].group
    assert group.advertised_rate_per_s == 40.0 / instance_count and group.rate_limit_per_s == (
        group.advertised_rate_per_s if limited else 0.0
    )


def report_load(driver, remaining_share, limit, endpoint=100):
    """Report the load of an endpoint and return the group of endpoint 100."""
    driver.run_tick(LoadReportReceived(endpoint, (remaining_share, limit)))
    return driver.policy.state.endpoints[100].group


@pytest.mark.parametrize("instance_count", [1, 3, 40])
def test_exhausted_limit_cuts_each_instance_to_its_share(instance_count):
    driver = PolicyDriver(instance_count=instance_count, call_slots=4, load_report_fields=("x0", "x1"))
    report_load(
        driver, 0.6, 40.0
    ).rate_limit_per_s = 40.0  # above its share: other instances sent less than theirs
    assert report_load(driver, 0.3, 40.0).rate_limit_per_s == 40.0
    assert report_load(driver, 0.05, 40.0).rate_limit_per_s == 40.0 / instance_count
    # A rate that an earlier rejection has cut is not raised.
    report_load(driver, 0.05, 40.0).rate_limit_per_s = 0.5 * 40 / instance_count
    assert report_load(driver, 0.0, 40.0).rate_limit_per_s == 0.5 * 40 / instance_count


@pytest.mark.parametrize("remaining_share", [float("nan"), float("inf"), -float("inf"), -0.5])
def test_invalid_remaining_share_changes_nothing(remaining_share):
    driver = mid_size_fleet()
    report_load(driver, 0.6, 40.0).rate_limit_per_s = 3.0
    assert (
        report_load(driver, remaining_share, 40.0).rate_limit_per_s == 3.0
        and report_load(driver, remaining_share, 40.0).advertised_rate_per_s == 1.0
    )


@pytest.mark.parametrize("limit", [float("nan"), float("inf"), -float("inf"), -40.0, 0.0])
def test_invalid_limit_changes_nothing(limit):
    driver = mid_size_fleet()
    report_load(driver, 0.6, 40.0).rate_limit_per_s = 3.0
    group = report_load(driver, 0.0, limit)
    assert (group.rate_limit_per_s, group.advertised_rate_per_s) == (3.0, 1.0)


@pytest.mark.parametrize(
    "fields, values",
    [
        (("x1",), (80.0,)),
        ((), ()),
        (("x0", "x1"), (0.05,)),
        (("x0",), (0.0,)),
        (("x0", "x1"), (0.05, 80.0, 7.0)),
    ],
)
def test_load_report_with_missing_or_extra_values_is_read_as_far_as_possible(fields, values):
    driver = mid_size_fleet(load_report_fields=fields)
    driver.run_tick(LoadReportReceived(100, values))
    group = driver.policy.state.endpoints[100].group
    assert (
        group.advertised_rate_per_s == (2.0 if 80.0 in values else 0.0)
        and group.rate_limit_per_s == group.advertised_rate_per_s
    )


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_tenfold_change_of_the_limit_scales_the_rate(factor):
    driver = mid_size_fleet()
    report_load(driver, 0.6, 40.0).rate_limit_per_s = 1.5
    group = report_load(driver, 0.6, 40.0 * factor)
    assert group.advertised_rate_per_s == pytest.approx(factor) and group.rate_limit_per_s == pytest.approx(
        1.5 * factor
    )
    sends = sum(len(actions_of(SendAttempt, driver.submit(after_us=1000))) for _ in range(200))
    assert sends <= 4  # no burst beyond the call slots, for either factor
