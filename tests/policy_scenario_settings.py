"""Settings of the scenarios in `policy_scenarios`, under keys that do not depend on the names of the code."""

from __future__ import annotations

SECOND = 1_000_000  # in microseconds

# Fields of a message class; its times are in microseconds.
CLASS_FIELDS = (
    "name",
    "objective",
    "deadline",
    "idempotency",
    "weight",
    "late_share",
    "scope",
    "window",
    "ordered",
)


def _class(
    name, objective, deadline, idempotency, weight=1.0, late_share=0.0, scope="all", window=0, ordered=False
):
    values = (name, objective, deadline, idempotency, weight, late_share, scope, window, ordered)
    return dict(zip(CLASS_FIELDS, values, strict=True))


CLASSES = (
    _class("safe", SECOND, 6 * SECOND, "safe", 2.0, 0.2),
    _class("keyed", 2 * SECOND, 9 * SECOND, "keyed", 1.0, 0.0, "all", 4 * SECOND),
    _class("zoned", 2 * SECOND, 9 * SECOND, "keyed", 1.5, 0.1, "zone", 5 * SECOND),
    _class("unsafe", SECOND // 2, 8 * SECOND, "unsafe", 3.0),
    _class("ordered", SECOND, 8 * SECOND, "keyed", 1.0, 0.0, "all", 8 * SECOND, True),
    _class("ordered unsafe", SECOND, 8 * SECOND, "unsafe", 1.0, 0.0, "all", 0, True),
)

# Fields of the settings by scenario. An entry of "kinds" is a destination type: whether its endpoints are
# independent, and its maximum batch size. An entry of "tenants" is a share, and a quota in messages a second.
SCENARIOS = {
    "small-fleet": {
        "slots": 6,
        "open": 40,
        "kinds": ((False, 1), (False, 4)),
        "tenants": ((0.6, 4.0), (0.4, 1.0)),
        "instances": 3,
        "max_attempts": 5,
        "retry_after": 2 * SECOND,
        "clients_mark_retries": True,
        "key_rest": SECOND // 2,
        "rates_advertised": True,
        "over_quota_weight": 0.2,
        "first_share": 0.15,
        "slow_start": 4 * SECOND,
        "multiple": 2.5,
    },
    "mid-fleet": {
        "slots": 4,
        "open": 60,
        "kinds": ((False, 1), (True, 3)),
        "tenants": (),
        "instances": 40,
        "max_attempts": 12,
        "retry_after": 2 * SECOND,
        "clients_mark_retries": False,
        "key_rest": 0,
        "report": ("x0", "x1"),
        "halves": True,
        "zone_costs": (0.0, 0.3),
        "first_share": 0.1,
        "slow_start": 6 * SECOND,
        "multiple": 2.0,
        "window": SECOND,
    },
    "large-fleet": {
        "slots": 4,
        "open": 60,
        "kinds": ((False, 1), (True, 2)),
        "tenants": ((1.0, 50.0),),
        "instances": 200,
        "max_attempts": 3,
        "retry_after": 3 * SECOND,
        "clients_mark_retries": True,
        "key_rest": SECOND // 4,
        "rates_advertised": True,
        "rejected_cost": 0.1,
        "first_share": 0.2,
        "slow_start": 5 * SECOND,
        "multiple": 2.5,
    },
    "large-fleet-reports": {
        "slots": 3,
        "open": 30,
        "kinds": ((True, 1), (False, 1)),
        "tenants": (),
        "instances": 120,
        "max_attempts": 3,
        "retry_after": SECOND,
        "clients_mark_retries": False,
        "key_rest": 0,
        "report": ("x1", "x0", "x9"),
        "first_share": 0.1,
        "slow_start": 5 * SECOND,
        "multiple": 2.0,
    },
    "list-on-request": {
        "slots": 8,
        "open": 30,
        "kinds": ((False, 1),),
        "tenants": (),
        "instances": 1,
        "max_attempts": 2,
        "retry_after": 0,
        "clients_mark_retries": False,
        "key_rest": SECOND,
        "on_request": True,
        "halves": True,
        "first_share": 0.3,
        "slow_start": 3 * SECOND,
        "multiple": 1.5,
        "rejected_cost": 0.02,
    },
    "one-slot": {
        "slots": 1,
        "open": 12,
        "kinds": ((False, 2), (False, 3)),
        "tenants": ((1.0, 3.0),),
        "instances": 20,
        "max_attempts": 4,
        "retry_after": SECOND,
        "clients_mark_retries": True,
        "key_rest": 0,
        "rates_advertised": True,
        "first_share": 0.1,
        "slow_start": 4 * SECOND,
        "multiple": 2.0,
    },
}
