"""Configuration of an instance: environment variables, and the JSON file named by LB_CONFIG."""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from message_relay.model import Settings
from message_relay.simulator_adapter import settings_json

DEFAULT_MAX_DESCRIPTORS = 1024  # if the file has no limits.sockets
DEFAULT_DISK_LIMIT_MB = 3  # if the file has no limits.disk_mb
DEFAULT_MEMORY_LIMIT_MB = 32  # if the file has no limits.memory_mb
BYTES_PER_MB = 1_000_000
MAX_PORT = 65535


class ConfigurationError(Exception):
    """A value that is missing or not valid. The text is one line that starts with the name of the field."""


class Address(NamedTuple):
    """TCP address; an IPv6 host is stored without brackets."""

    host: str
    port: int


class CachedEndpointList(NamedTuple):
    """Endpoint list of the time when the configuration file was written; its targets are unparsed entries."""

    revision: int
    targets: list[dict[str, Any]]


class RelayConfiguration(NamedTuple):
    """Configuration of one instance.

    max_descriptors: upper bound for the open file descriptors of the process; disk_limit_bytes: upper bound
    for the size of the state directory; memory_limit_bytes: upper bound for the memory of the process; zones:
    names of the zones, indexed by zone number; console_address: address of the admin console, None for no
    console; listen_fd: descriptor of a listening socket that the platform has opened, -1 for none.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    state_directory: Path
    seed: int
    max_descriptors: int
    disk_limit_bytes: int
    memory_limit_bytes: int
    cached_list: CachedEndpointList
    settings: Settings
    zones: tuple[str, ...]
    console_address: Address | None = None
    listen_fd: int = -1


def parse_address(text: Any, field: str) -> Address:
    """Parse HOST:PORT, such as '10.0.0.4:6379'.

    Raises ConfigurationError, which names the field, if the text is malformed.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not colon or not port.isdigit() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigurationError(f"{field}: expected HOST:PORT, got {text!r:.200}")
    return Address(host.strip("[]"), int(port))


def load_configuration(environment: Mapping[str, str]) -> RelayConfiguration:
    """Load the configuration; a value from the environment takes precedence over one from the file.

    Raises ConfigurationError, which names the first field that is missing or not valid.
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
        memory_limit_bytes=int(_positive_limit(limits, "memory_mb", DEFAULT_MEMORY_LIMIT_MB) * BYTES_PER_MB),
        cached_list=_cached_list(_object_field(document, "known")),
        settings=_settings(settings),
        zones=tuple(str(zone) for zone in settings.get("localities") or ()),
        console_address=parse_address(console, "LB_CONSOLE") if console else None,
        listen_fd=_listen_fd(environment.get("LB_FD", "")),
    )


def load_discovery_address(environment: Mapping[str, str]) -> Address:
    """Load the address of the discovery service from the file only.

    LB_DISCOVERY is ignored: after the file was replaced, the environment still has the older value.
    Raises ConfigurationError, which names the field that is missing or not valid.
    """
    return parse_address(_read_file(environment).get("discovery"), "discovery")


def _read_file(environment: Mapping[str, str]) -> dict[str, Any]:
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigurationError("LB_CONFIG: not set, expected the path of the configuration file")
    try:
        document = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"LB_CONFIG: cannot read {path!r:.200}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(f"LB_CONFIG: {path!r:.200} is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise ConfigurationError(
            f"LB_CONFIG: expected a JSON object in {path!r:.200}, got {type(document).__name__}"
        )
    return document


def _object_field(document: dict[str, Any], field: str) -> dict[str, Any]:
    value = document.get(field, {})
    if not isinstance(value, dict):
        raise ConfigurationError(f"{field}: expected a JSON object, got {value!r:.200}")
    return value


def _state_directory(environment: Mapping[str, str]) -> Path:
    text = environment.get("LB_STATE")
    if not text or not Path(text).is_dir():
        raise ConfigurationError(f"LB_STATE: expected the path of a directory, got {text!r:.200}")
    return Path(text)


def _seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError):
        raise ConfigurationError(f"seed: expected a number or hex digits, got {value!r:.200}") from None


def _positive_limit(limits: dict[str, Any], field: str, default: float) -> float:
    value = limits.get(field, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value <= 0:
        raise ConfigurationError(f"limits.{field}: expected a number above 0, got {value!r:.200}")
    return value


def _cached_list(cached: dict[str, Any]) -> CachedEndpointList:
    revision, targets = cached.get("rev", 0), cached.get("targets", [])
    if not isinstance(revision, int) or not isinstance(targets, list):
        raise ConfigurationError(
            f"known: expected an integer rev and a list targets, got {revision!r:.80} and {targets!r:.80}"
        )
    return CachedEndpointList(revision, targets)


def _settings(document: dict[str, Any]) -> Settings:
    if not document:
        raise ConfigurationError("settings: missing or empty, expected a JSON object")
    try:
        return settings_json.read_settings(json.dumps(document))
    except ValueError as error:
        raise ConfigurationError(f"settings: {error}") from None


def _listen_fd(text: str) -> int:
    """Return the descriptor of a listening TCP socket that the platform has opened, -1 for an empty text."""
    if not text:
        return -1
    try:
        descriptor = int(text)
        # The check uses a duplicate because closing the socket object closes its descriptor.
        with socket.socket(fileno=os.dup(descriptor)) as duplicate:
            listening = _is_listening_tcp_socket(duplicate)
    except (ValueError, OSError):
        listening = False
    if not listening:
        raise ConfigurationError(
            f"LB_FD: expected the descriptor of a listening TCP socket, got {text!r:.200}"
        )
    return descriptor


def _is_listening_tcp_socket(candidate: socket.socket) -> bool:
    if candidate.family not in (socket.AF_INET, socket.AF_INET6) or candidate.type != socket.SOCK_STREAM:
        return False
    return bool(candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
