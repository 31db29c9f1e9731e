"""Metrics for operators; each event is counted where it happens, from the start of the process."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

NAME_PREFIX = "app_"
CLASS_LABEL = "tier"


def escape_label_value(value: str) -> str:
    """Escape a label's value as the Prometheus exposition format requires."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Gauges(NamedTuple):
    """Current values that are read when the metrics are rendered."""

    open_messages: int
    endpoints_listed: int
    endpoints_out_of_rotation: int


class Metrics:
    """Counters of one process; those of messages are indexed by message class."""

    def __init__(self, class_names: Sequence[str]) -> None:
        self.class_names = class_names
        self.delivered = [0] * len(class_names)
        self.rejected = [0] * len(class_names)
        self.failed = [0] * len(class_names)
        self.attempts_written = 0
        self.reloads_succeeded = 0
        self.reloads_failed = 0

    def record_delivered(self, message_class: int) -> None:
        """Count a message that an endpoint accepted."""
        self.delivered[message_class] += 1

    def record_rejected(self, message_class: int) -> None:
        """Count a message that was rejected, at submission or with the final answer `deferred`."""
        self.rejected[message_class] += 1

    def record_failed(self, message_class: int) -> None:
        """Count a message that ended undelivered without being rejected."""
        self.failed[message_class] += 1

    def record_attempts_written(self, count: int) -> None:
        """Count the `count` attempts of a call whose last byte was written."""
        self.attempts_written += count

    def record_reload(self, succeeded: bool) -> None:
        """Count a reload of the configuration as succeeded or failed."""
        if succeeded:
            self.reloads_succeeded += 1
        else:
            self.reloads_failed += 1

    def render(self, gauges: Gauges) -> str:
        """Return the metrics as text, one per line."""
        lines = [
            *self._render_by_class("success", self.delivered),
            *self._render_by_class("busy", self.rejected),
            *self._render_by_class("failure", self.failed),
        ]
        values = {
            "backend_calls_total": self.attempts_written,
            "inflight": gauges.open_messages,
            "hosts_listed": gauges.endpoints_listed,
            "hosts_down": gauges.endpoints_out_of_rotation,
            "reconfig_ok_total": self.reloads_succeeded,
            "reconfig_failed_total": self.reloads_failed,
        }
        lines += [f"{NAME_PREFIX}{name} {value}" for name, value in values.items()]
        return "".join(f"{line}\n" for line in lines)

    def _render_by_class(self, name: str, counts: list[int]) -> list[str]:
        return [
            f'{NAME_PREFIX}{name}_total{{{CLASS_LABEL}="{escape_label_value(class_name)}"}} {count}'
            for class_name, count in zip(self.class_names, counts, strict=True)
        ]
