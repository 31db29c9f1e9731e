"""What KNOWN-RED.txt lets a run pass over, and what it does not."""

import pathlib
import shutil
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parent.parent
RED = "tests/test_a.py::test_red, a cause, with a comma, issue 14"


def run(folder, known, more=""):
    (folder / "tests").mkdir()
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    (folder / "tests/test_a.py").write_text(
        f"def test_red():\n    assert False\n\ndef test_green():\n    pass\n\n{more}\n"
    )
    shutil.copy(ROOT / "conftest.py", folder)
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text(known)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout + done.stderr


def test_a_listed_failure_is_run_printed_and_passed_over(tmp_path):
    code, said = run(tmp_path, RED + "\n")
    assert code == 0 and "1 passed, 1 xfailed" in said
    assert "known failure: tests/test_a.py::test_red: a cause, with a comma, issue 14" in said


@pytest.mark.parametrize("known", [None, "", "\n"])
def test_a_failure_that_is_not_listed_fails(tmp_path, known):
    code, said = run(tmp_path, known)
    assert code == 1 and "1 failed, 1 passed" in said


def test_another_failure_beside_a_listed_one_fails(tmp_path):
    code, said = run(tmp_path, RED, "def test_more():\n    assert False\n")
    assert code == 1 and "1 failed, 1 passed, 1 xfailed" in said


@pytest.mark.parametrize(
    "known, word",
    [
        ("tests/test_a.py::test_green, passes by now, issue 14", "XPASS(strict)"),
        (RED + "\ntests/test_a.py::test_gone, a cause, issue 14", "names no test"),
        ("tests/test_a.py::test_red, a cause", "must be"),
        ("tests/test_a.py::test_red", "must be"),
        (RED + "\n" + RED, "each test once"),
        ("\n".join(f"tests/test_a.py::test_{n}, a cause, issue 14" for n in range(4)), "3 at most"),
    ],
)
def test_a_list_that_is_not_true_fails(tmp_path, known, word):
    code, said = run(tmp_path, known)
    assert code != 0 and word in said
