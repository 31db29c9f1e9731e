"""The README's example sends and retries a message, and its test command is the one that CI runs."""

import pathlib
import re

README = (pathlib.Path(__file__).parent.parent / "README.md").read_text()


def test_the_example_sends_and_retries(capsys):
    code = re.search(r"```python\n(.*?)```", README, re.S).group(1)
    namespace = {}
    exec(code, namespace)
    printed_lines = capsys.readouterr().out.splitlines()
    assert printed_lines[0].startswith("send 42 to 1")
    for now_us in range(100_000, 900_000, 20_000):
        namespace["tick"](now_us)
    assert capsys.readouterr().out.count("send 42 to 1") + len(printed_lines) == 2


def test_ci_runs_the_command_of_the_readme():
    command = re.search(r"## Tests\n\n```\n(.*?)\n```", README).group(1)
    script = pathlib.Path(__file__).parent.parent / ".ci" / "run"
    assert command in script.read_text().splitlines()
