"""Parser of the settings JSON that the simulator and the server's configuration file contain.

Its keys, such as ``goalTimeUs``, are the simulator's names for the fields of Settings. Unknown keys are
ignored.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, TypeVar

from message_relay.model import DestinationType, Idempotency, KeyScope, MessageClass, Settings, Tenant

Value = TypeVar("Value")
IDEMPOTENCY_BY_NAME = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.KEYED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
KEY_SCOPES_BY_NAME = {scope.value: scope for scope in KeyScope}
# Values of "weightSource" for which an endpoint's weight is a rate limit in calls per second.
RATE_LIMIT_SOURCES = ("nominal", "rough")


class MalformedSettingsError(ValueError):
    """The settings are not JSON, or a key is missing or has a value of the wrong type."""


def _lookup(table: Mapping[Any, Value], key: Any, field: str) -> Value:
    try:
        return table[key]
    except (KeyError, TypeError):
        raise MalformedSettingsError(
            f"unknown {field} {key!r:.100}, expected one of {sorted(table)}"
        ) from None


def read_settings(text: bytes | memoryview | str) -> Settings:
    """Parse settings JSON.

    Raises MalformedSettingsError if the text is not a JSON object, or if a required key is missing or has a
    value of the wrong type. Raises ValueError if a value is out of range.
    """
    try:
        raw = json.loads(bytes(text) if isinstance(text, memoryview) else text)
    except ValueError as error:
        raise MalformedSettingsError(f"settings are not JSON: {error}") from None
    if not isinstance(raw, dict):
        raise MalformedSettingsError(f"settings must be a JSON object, not {type(raw).__name__}")
    try:
        return _settings(raw)
    except KeyError as error:
        raise MalformedSettingsError(f"required key {error.args[0]!r} is missing") from None
    except (TypeError, AttributeError) as error:
        raise MalformedSettingsError(f"value of the wrong type: {error}") from None


def _message_class(raw: dict[str, Any], number: int) -> MessageClass:
    return MessageClass(
        name=raw.get("name", str(number)),
        latency_objective_us=int(raw["goalTimeUs"]),
        deadline_us=int(raw["deadlineUs"]),
        idempotency=_lookup(IDEMPOTENCY_BY_NAME, raw["idempotency"], "classes.idempotency"),
        priority_weight=float(raw.get("worth", 1.0)),
        late_weight_share=float(raw.get("lateShare", 0.0)),
        key_scope=_lookup(KEY_SCOPES_BY_NAME, raw.get("keyScope", "all"), "classes.keyScope"),
        key_window_us=int(raw.get("keyTtlUs", 0)),
        ordered=bool(raw.get("sequential", False)),
    )


def _destination_types(raw: dict[str, Any], family_info: dict[str, Any]) -> tuple[DestinationType, ...]:
    independent, batch_sizes = family_info.get("kindApart", []), family_info.get("kindBatch", [])
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
    family_info, limits, contract = raw.get("familyInfo", {}), raw["policyLimits"], raw["contract"]
    retry_after_honored = limits.get("retryAfter", False)
    return Settings(
        classes=tuple(_message_class(item, number) for number, item in enumerate(raw["classes"])),
        destination_types=_destination_types(raw, family_info),
        tenants=_tenants(raw),
        call_slots=int(family_info["maxCalls"]),
        max_open_messages=int(limits["maxOpen"]),
        instance_count=int(raw.get("groupSize", 1)),
        instance_index=int(raw.get("me", 0)),
        max_attempts=int(limits["attemptsCap"]),
        hedging_allowed=bool(limits.get("secondCopies", False)),
        health_checks_allowed=bool(limits.get("probing", False)),
        cancellation_allowed=bool(limits.get("mayCancel", False)),
        gossip_allowed=bool(limits.get("peers", False)),
        tick_interval_us=int(raw.get("stepUs", 1000)),
        max_retry_after_us=int(limits.get("maxRetryAfterUs", 0)) if retry_after_honored else 0,
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
        rate_limits_advertised=raw.get("weightSource") in RATE_LIMIT_SOURCES,
        load_report_fields=tuple(str(field) for field in raw.get("report", {}).get("fields", [])),
        over_quota_weight=float(raw.get("overShareWorth", 1.0)),
        late_weight_decays_exponentially=family_info.get("late") == "halves",
        clients_mark_retries=bool(raw.get("clients", {}).get("marksRetry", False)),
        rejected_call_cost=float(family_info.get("refusedPrice", 0.0)),
        zone_costs=tuple(float(cost) for cost in family_info.get("carriage", [])),
    )
