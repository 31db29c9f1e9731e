"""Effect of KNOWN-RED.txt on a test run: only the listed failures do not fail it."""

import pathlib
import shutil
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURE = "tests/test_a.py::test_red, a cause, with a comma, issue 14"


def run_pytest(folder, known_failures, further_tests=""):
    """Run a failing and a passing test with this content of KNOWN-RED.txt; return exit status and output."""
    (folder / "tests").mkdir()
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "tests/test_a.py").write_text(
        f"def test_red():\n    assert False\n\ndef test_green():\n    pass\n\n{further_tests}\n"
    )
    shutil.copy(ROOT / "conftest.py", folder)
    if known_failures is not None:
        (folder / "KNOWN-RED.txt").write_text(known_failures)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return completed.returncode, completed.stdout + completed.stderr


def test_a_listed_failure_is_printed_and_does_not_fail_the_run(tmp_path):
    status, output = run_pytest(tmp_path, KNOWN_FAILURE + "\n")
    assert status == 0 and "1 passed, 1 xfailed" in output
    assert "known failure: tests/test_a.py::test_red: a cause, with a comma, issue 14" in output


@pytest.mark.parametrize("known_failures", [None, "", "\n"])
def test_a_failure_that_is_not_listed_fails_the_run(tmp_path, known_failures):
    status, output = run_pytest(tmp_path, known_failures)
    assert status == 1 and "1 failed, 1 passed" in output


def test_another_failure_beside_a_listed_one_fails_the_run(tmp_path):
    status, output = run_pytest(tmp_path, KNOWN_FAILURE, "def test_more():\n    assert False\n")
    assert status == 1 and "1 failed, 1 passed, 1 xfailed" in output


@pytest.mark.parametrize(
    "known_failures, expected_error",
    [
        ("tests/test_a.py::test_green, passes by now, issue 14", "XPASS(strict)"),
        (KNOWN_FAILURE + "\ntests/test_a.py::test_gone, a cause, issue 14", "names no test"),
        ("tests/test_a.py::test_red, a cause", "must be"),
        ("tests/test_a.py::test_red", "must be"),
        (KNOWN_FAILURE + "\n" + KNOWN_FAILURE, "each test once"),
        ("\n".join(f"tests/test_a.py::test_{n}, a cause, issue 14" for n in range(4)), "3 at most"),
    ],
)
def test_an_invalid_or_outdated_list_fails_the_run(tmp_path, known_failures, expected_error):
    status, output = run_pytest(tmp_path, known_failures)
    assert status != 0 and expected_error in output
