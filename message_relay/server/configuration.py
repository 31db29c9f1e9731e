"""The configuration at the start: environment variables, and the JSON file that LB_CONFIG names."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from message_relay.model import Settings
from message_relay.simulator_adapter import settings_json

# For a file that sets no limits.
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_DISK_LIMIT_MB = 3
BYTES_PER_MB = 1_000_000
MAX_PORT = 65535


class ConfigurationError(Exception):
    """A value that is missing or wrong; the text is one line that starts with the name of its field."""


class Address(NamedTuple):
    """A TCP address; an IPv6 host stands without brackets."""

    host: str
    port: int


class CachedEndpointList(NamedTuple):
    """The endpoint list at the time the configuration was written; targets are the entries as they came."""

    revision: int
    targets: list[dict[str, Any]]


class RelayConfiguration(NamedTuple):
    """The configuration of one instance.

    max_descriptors: how many file descriptors the process may have open; disk_limit_bytes: how much the state
    directory may hold; zones: the zones' names in the order of their numbers; console_address: where the
    admin console listens, None for no console; listen_fd: a listening socket that the platform passed on, -1
    for none.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    state_directory: Path
    seed: int
    max_descriptors: int
    disk_limit_bytes: int
    cached_list: CachedEndpointList
    settings: Settings
    zones: tuple[str, ...]
    console_address: Address | None = None
    listen_fd: int = -1


def parse_address(text: Any, field: str) -> Address:
    """Parse HOST:PORT, such as '10.0.0.4:6379'; ConfigurationError names the field if it is malformed."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigurationError(f"{field}: must be HOST:PORT, not {text!r}")
    return Address(host.strip("[]"), int(port))


def load_configuration(environment: Mapping[str, str]) -> RelayConfiguration:
    """Load the configuration; the environment wins where both it and the file give a value.

    ConfigurationError names the first field that is missing or wrong.
    """
    document = _read_file(environment)
    limits = _object_field(document, "limits")
    settings = _object_field(document, "settings")
    state_directory = _state_directory(environment)
    console = environment.get("LB_CONSOLE") or document.get("console")
    listen = environment.get("LB_LISTEN") or document.get("listen")
    discovery = environment.get("LB_DISCOVERY") or document.get("discovery")
    return RelayConfiguration(
        name=str(environment.get("LB_NAME") or document.get("name", "")),
        listen_address=parse_address(listen, "LB_LISTEN"),
        discovery_address=parse_address(discovery, "LB_DISCOVERY"),
        state_directory=state_directory,
        seed=_seed(document.get("seed", 0)),
        max_descriptors=int(_positive_limit(limits, "sockets", DEFAULT_MAX_DESCRIPTORS)),
        disk_limit_bytes=int(_positive_limit(limits, "disk_mb", DEFAULT_DISK_LIMIT_MB) * BYTES_PER_MB),
        cached_list=_cached_list(_object_field(document, "known")),
        settings=_settings(settings),
        zones=tuple(str(zone) for zone in settings.get("localities") or ()),
        console_address=parse_address(console, "LB_CONSOLE") if console else None,
        listen_fd=_listen_fd(environment.get("LB_FD", "")),
    )


def load_discovery_address(environment: Mapping[str, str]) -> Address:
    """Read the discovery service's address from the file alone.

    LB_DISCOVERY is ignored: once the file was replaced, the environment has the older value.
    ConfigurationError names what is missing or wrong.
    """
    return parse_address(_read_file(environment).get("discovery"), "discovery")


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG: is not set")
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"LB_CONFIG: cannot be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(f"LB_CONFIG: is not JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError("LB_CONFIG: must hold a JSON object")
    return document


def _object_field(document: dict[str, Any], field: str) -> dict[str, Any]:
    value = document.get(field, {})
    if not isinstance(value, dict):
        raise ConfigurationError(f"{field}: must be a JSON object")
    return value


def _state_directory(environment: Mapping[str, str]) -> Path:
    text = environment.get("LB_STATE")
    if not text or not Path(text).is_dir():
        raise ConfigurationError(f"LB_STATE: must be a folder, not {text!r}")
    return Path(text)


def _seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError):
        raise ConfigurationError(f"seed: must be a number or hex digits, not {value!r}") from None


def _positive_limit(limits: dict[str, Any], field: str, default: float) -> float:
    value = limits.get(field, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise ConfigurationError(f"limits.{field}: must be a number above 0, not {value!r}")
    return value


def _cached_list(cached: dict[str, Any]) -> CachedEndpointList:
    revision, targets = cached.get("rev", 0), cached.get("targets", [])
    if not isinstance(revision, int) or not isinstance(targets, list):
        raise ConfigurationError("known: must hold a whole number rev and a list targets")
    return CachedEndpointList(revision, targets)


def _settings(document: dict[str, Any]) -> Settings:
    if not document:
        raise ConfigurationError("settings: lacks")
    try:
        return settings_json.read_settings(json.dumps(document))
    except ValueError as error:
        raise ConfigurationError(f"settings: {error}") from None


def _listen_fd(text: str) -> int:
    """The descriptor of a listening TCP socket that the platform has opened, -1 for an empty text."""
    if not text:
        return -1
    try:
        descriptor = int(text)
        # A duplicate is checked, since closing the socket object closes its descriptor.
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            listening = _is_listening_tcp_socket(duplicate)
    except (ValueError, OSError):
        listening = False
    if not listening:
        raise ConfigurationError(f"LB_FD: must be the descriptor of a listening TCP socket, not {text!r}")
    return descriptor


def _is_listening_tcp_socket(candidate: socket.socket) -> bool:
    if candidate.family not in (socket.AF_INET, socket.AF_INET6) or candidate.type != socket.SOCK_STREAM:
        return False
    return bool(candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
