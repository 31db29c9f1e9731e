"""The settings as the simulator and config.json give them, to Settings.

Names such as ``goalTimeUs`` are those of the wire; unknown keys are ignored.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from message_relay.model import DestinationType, Idempotency, KeyScope, MessageClass, Settings, Tenant

Value = TypeVar("Value")
IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPES = {scope.value: scope for scope in KeyScope}
ADVERTISED_RATES = ("nominal", "rough")  # weight sources that give a rate limit, and no mere weight


class MalformedSettingsError(ValueError):
    """Settings that are not of the form that the wire describes."""


def _choice(table: Mapping[Any, Value], code: Any, field: str) -> Value:
    try:
        return table[code]
    except (KeyError, TypeError):
        raise MalformedSettingsError(f"unknown {field} {code!r}, expected one of {sorted(table)}") from None


def read_settings(text: bytes | memoryview | str) -> Settings:
    """Parse settings JSON.

    MalformedSettingsError names a needed key that lacks or has no usable value; ValueError comes from a value
    out of its range.
    """
    try:
        raw = json.loads(bytes(text) if isinstance(text, memoryview) else text)
    except ValueError as error:
        raise MalformedSettingsError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise MalformedSettingsError("settings are not a JSON object")
    try:
        return _settings(raw)
    except KeyError as error:
        raise MalformedSettingsError(f"settings lack the key {error.args[0]!r}") from None
    except (TypeError, AttributeError) as error:
        raise MalformedSettingsError(f"settings are of the wrong form: {error}") from None


def _message_class(raw: dict[str, Any], number: int) -> MessageClass:
    return MessageClass(
        name=raw.get("name", str(number)),
        latency_objective_us=int(raw["goalTimeUs"]),
        deadline_us=int(raw["deadlineUs"]),
        idempotency=_choice(IDEMPOTENCY, raw["idempotency"], "classes.idempotency"),
        priority_weight=float(raw.get("worth", 1.0)),
        late_weight_share=float(raw.get("lateShare", 0.0)),
        key_scope=_choice(KEY_SCOPES, raw.get("keyScope", "all"), "classes.keyScope"),
        key_window_us=int(raw.get("keyTtlUs", 0)),
        ordered=bool(raw.get("sequential", False)),
    )


def _destination_types(raw: dict[str, Any], family: dict[str, Any]) -> tuple[DestinationType, ...]:
    independent, batch_sizes = family.get("kindApart", []), family.get("kindBatch", [])
    return tuple(
        DestinationType(
            name,
            bool(independent[number]) if number < len(independent) else False,
            int(batch_sizes[number]) if number < len(batch_sizes) else 1,
        )
        for number, name in enumerate(raw.get("shapes") or ["any"])
    )


def _tenants(raw: dict[str, Any]) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(
            tenant.get("name", ""), float(tenant.get("fraction", 0.0)), float(tenant.get("quotaPerS", 0.0))
        )
        for tenant in raw.get("tenants", [])
    )


def _settings(raw: dict[str, Any]) -> Settings:
    family, limits, contract = raw.get("familyInfo", {}), raw["policyLimits"], raw["contract"]
    heeds_retry_after = limits.get("retryAfter", False)
    return Settings(
        classes=tuple(_message_class(item, number) for number, item in enumerate(raw["classes"])),
        destination_types=_destination_types(raw, family),
        tenants=_tenants(raw),
        call_slots=int(family["maxCalls"]),
        max_open_messages=int(limits["maxOpen"]),
        instance_count=int(raw.get("groupSize", 1)),
        instance_index=int(raw.get("me", 0)),
        max_attempts=int(limits["attemptsCap"]),
        hedging_allowed=bool(limits.get("secondCopies", False)),
        health_checks_allowed=bool(limits.get("probing", False)),
        cancellation_allowed=bool(limits.get("mayCancel", False)),
        gossip_allowed=bool(limits.get("peers", False)),
        tick_interval_us=int(raw.get("stepUs", 1000)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs", 0)) if heeds_retry_after else 0,
        connection_idle_timeout_us=int(limits["connIdleUs"]),
        connect_timeout_us=int(limits["connectTimeoutUs"]),
        drain_grace_us=int(contract["drainGraceUs"]),
        slow_start_share=float(contract["coldShare"]),
        slow_start_us=int(contract["coldUs"]),
        overload_factor=float(contract["fallMultiple"]),
        overload_window_us=int(contract["fallUs"]),
        order_key_pause_us=int(contract.get("keyRestUs", 0)),
        answer_slack_us=int(contract.get("answerSlackUs", 0)),
        endpoint_list_requires_subscription=raw.get("membershipMode") == "on_request",
        rate_limits_advertised=raw.get("weightSource") in ADVERTISED_RATES,
        load_report_fields=tuple(str(field) for field in raw.get("report", {}).get("fields", [])),
        over_quota_weight=float(raw.get("overShareWorth", 1.0)),
        late_weight_decays_exponentially=family.get("late") == "halves",
        clients_mark_retries=bool(raw.get("clients", {}).get("marksRetry", False)),
        rejected_call_cost=float(family.get("refusedPrice", 0.0)),
        zone_costs=tuple(float(cost) for cost in family.get("carriage", [])),
    )
