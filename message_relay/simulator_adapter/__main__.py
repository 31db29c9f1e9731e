"""`python -m message_relay.simulator_adapter`: the decisions, on standard input and output."""

from __future__ import annotations

import sys

from message_relay.simulator_adapter.loop import serve


def main() -> int:
    """Serve until the input ends; exit status 2 and one line on standard error for malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:
        print(f"message-relay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
