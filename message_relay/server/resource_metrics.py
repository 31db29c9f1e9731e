"""Metrics of the resources that clients use: connections, memory, and why connections and messages ended.

The counts are from the start of the process.
"""

from __future__ import annotations

import enum
import os
from collections.abc import Mapping
from pathlib import Path
from typing import NamedTuple, TypeVar

from message_relay.server.metrics import NAME_PREFIX

Reason = TypeVar("Reason", bound=enum.Enum)

PROCESS_MEMORY_FILE = Path("/proc/self/statm")  # sizes in pages; the second one is the resident memory
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ResourceUsage(NamedTuple):
    """Resources in use when the metrics are rendered."""

    client_connections: int
    client_buffer_bytes: int  # of unfinished requests
    message_bytes: int  # of open messages, and of those that wait for the policy's decision
    stored_identifiers: int  # ids of completed messages, and idempotency keys


def resident_bytes() -> int:
    """Return the resident memory of this process, 0 if the platform does not report it."""
    try:
        return int(PROCESS_MEMORY_FILE.read_text().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def render_usage(usage: ResourceUsage) -> str:
    """Return the resource usage as metrics, one per line."""
    values = {**usage._asdict(), "resident_bytes": resident_bytes()}
    return "".join(f"{NAME_PREFIX}{name} {value}\n" for name, value in values.items())


def render_counts_by_reason(name: str, counts: Mapping[Reason, int]) -> str:
    """Return one counter for each reason that has occurred, one per line."""
    return "".join(
        f'{NAME_PREFIX}{name}_total{{reason="{reason.value}"}} {count}\n' for reason, count in counts.items()
    )
