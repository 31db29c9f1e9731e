"""The figures that operators read: counted where each event happens, from the process's start on."""

from __future__ import annotations

from collections.abc import Sequence

PREFIX, CLASS = "app_", "tier"


def escape(value: str) -> str:
    """A label's value, as the exposition format has it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class Counters:
    """The one owner of what is counted."""

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = classes
        self.success, self.busy, self.failure = ([0] * len(classes) for _ in range(3))
        self.calls = self.reconfig_ok = self.reconfig_failed = 0

    def delivered(self, cls: int) -> None:
        self.success[cls] += 1

    def handed_back(self, cls: int) -> None:
        """Refused, or ended with leave to come again."""
        self.busy[cls] += 1

    def failed(self, cls: int) -> None:
        self.failure[cls] += 1

    def written(self, messages: int) -> None:
        """The last byte of a call with so many messages was written."""
        self.calls += messages

    def reconfigured(self, ok: bool) -> None:
        if ok:
            self.reconfig_ok += 1
        else:
            self.reconfig_failed += 1

    def render(self, gauges: dict[str, int]) -> str:
        """A line for each figure, with these that are true at this moment."""
        lines = []
        for name, counts in (("success", self.success), ("busy", self.busy), ("failure", self.failure)):
            lines += [
                f'{PREFIX}{name}_total{{{CLASS}="{escape(cls)}"}} {count}'
                for cls, count in zip(self.classes, counts, strict=True)
            ]
        plain = {
            "backend_calls_total": self.calls,
            **gauges,
            "reconfig_ok_total": self.reconfig_ok,
            "reconfig_failed_total": self.reconfig_failed,
        }
        lines += [f"{PREFIX}{name} {value}" for name, value in plain.items()]
        return "".join(f"{line}\n" for line in lines)
