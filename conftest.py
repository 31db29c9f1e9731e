"""Known failures: KNOWN-RED.txt lists tests that fail for a fault that is not fixed yet.

A line has the form "test, cause, issue". Each listed test is run, and its failure is printed without failing
the run. The run fails if a listed test passes, if a line names no test, or if there are too many lines.
"""

from __future__ import annotations

import pathlib

import pytest

MAX_KNOWN_FAILURES = 3


def read_known_failures(path: pathlib.Path) -> dict[str, str]:
    """Return the cause and issue of each listed test by its node id; no file means that none is listed.

    Raises UsageError if a line is malformed or repeats a test, or if there are too many lines.
    """
    if not path.exists():
        return {}
    known_failures = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(", ")]
        if len(fields) < 3 or not all(fields) or fields[0] in known_failures:
            text = (
                f"{path.name}, line {number}: must be 'test, cause, issue', each test once, got {line[:80]!r}"
            )
            raise pytest.UsageError(text)
        known_failures[fields[0]] = ", ".join(fields[1:])
    if len(known_failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"{path.name}: {len(known_failures)} lines, {MAX_KNOWN_FAILURES} at most")
    return known_failures


def pytest_configure(config: pytest.Config) -> None:
    config.known_failures = read_known_failures(config.rootpath / "KNOWN-RED.txt")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed_ids = set()
    for item in items:
        if item.nodeid in config.known_failures:
            listed_ids.add(item.nodeid)
            item.add_marker(pytest.mark.xfail(reason=config.known_failures[item.nodeid], strict=True))
    all_tests_collected = (
        config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword
    )
    if all_tests_collected and (unknown_ids := sorted(config.known_failures.keys() - listed_ids)):
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(unknown_ids)}")


def pytest_terminal_summary(terminalreporter, config: pytest.Config) -> None:
    for test, cause_and_issue in config.known_failures.items():
        terminalreporter.write_line(f"known failure: {test}: {cause_and_issue}")
