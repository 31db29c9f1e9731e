"""KNOWN-RED.txt: tests that fail for a real fault which is not mended yet, one a line: test, cause, issue.

Each is run and printed as a known failure; one that passes, a line that names no test, and a fourth line fail
the run.
"""

from __future__ import annotations

import pathlib

import pytest

MOST = 3


def known_red(path: pathlib.Path) -> dict[str, str]:
    """Test by test why it fails, and its issue."""
    if not path.exists():
        return {}
    known = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(", ")]
        if len(parts) < 3 or not all(parts) or parts[0] in known:
            text = f"{path.name}, line {number}: must be 'test, cause, issue', each test once"
            raise pytest.UsageError(text)
        known[parts[0]] = ", ".join(parts[1:])
    if len(known) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(known)} lines, {MOST} at most")
    return known


def pytest_configure(config: pytest.Config) -> None:
    config.known_red = known_red(config.rootpath / "KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    found = set()
    for item in items:
        if item.nodeid in config.known_red:
            found.add(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=config.known_red[item.nodeid], strict=True))
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    if whole and (lost := sorted(config.known_red.keys() - found)):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(lost)}")


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    for test, why in config.known_red.items():
        terminalreporter.write_line(f"known failure: {test}: {why}")
