"""``python -m message_relay.simulator_adapter``: requests on standard input, replies on standard output."""

from __future__ import annotations

import sys

from message_relay.simulator_adapter.loop import serve


def main() -> int:
    """Answer requests until the input ends, and return the exit status.

    For malformed input the status is 2, and one line on standard error states the reason.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:
        print(f"message-relay: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
