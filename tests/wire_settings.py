"""Settings of an instance under the keys of its configuration file."""

from __future__ import annotations


def settings(**changes):
    """Return the settings; `group__key=value` changes the value of a key in a group."""
    raw_settings = {
        "classes": [
            {
                "name": "safe",
                "goalTimeUs": 1_000_000,
                "deadlineUs": 6_000_000,
                "idempotency": "read_like",
                "worth": 2.0,
            },
            {
                "name": "keyed",
                "goalTimeUs": 2_000_000,
                "deadlineUs": 9_000_000,
                "idempotency": "idempotency_key",
                "keyScope": "all",
                "keyTtlUs": 8_000_000,
            },
            {
                "name": "unsafe",
                "goalTimeUs": 500_000,
                "deadlineUs": 9_000_000,
                "idempotency": "non_idempotent",
            },
        ],
        "clients": {"marksRetry": True},
        "groupSize": 2,
        "instance_index": 0,
        "stepUs": 5000,
        "contract": {
            "coldShare": 0.15,
            "coldUs": 1_000_000,
            "drainGraceUs": 2_000_000,
            "fallMultiple": 2.5,
            "fallUs": 2_000_000,
        },
        "familyInfo": {"maxCalls": 12, "kindApart": [False, False], "kindBatch": [1, 5]},
        "policyLimits": {
            "attemptsCap": 12,
            "connIdleUs": 10_000_000,
            "connectTimeoutUs": 1_000_000,
            "maxOpen": 40,
            "retryAfter": True,
            "maxRetryAfterUs": 2_000_000,
            "probing": True,
        },
        "localities": ["here"],
        "shapes": ["plain", "bundles"],
        "weightSource": "nominal",
        "tenants": [{"name": "t", "fraction": 1.0, "quotaPerS": 1000.0}],
    }
    for name, value in changes.items():
        group, _, key = name.partition("__")
        raw_settings[group][key] = value
    return raw_settings
