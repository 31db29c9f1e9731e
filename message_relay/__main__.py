"""`python -m message_relay`: one instance of the relay."""

from __future__ import annotations

import os
import sys

from message_relay.server.configuration import ConfigurationError, load_configuration
from message_relay.server.log_output import configure_logging

EXIT_OK, EXIT_CANNOT_START, EXIT_BAD_CONFIGURATION = 0, 1, 2


def main() -> int:
    """Run one instance.

    Exit status 2 for a bad configuration, 1 if it cannot start, with one line on standard error.
    """
    configure_logging()
    try:
        configuration = load_configuration(os.environ)
    except ConfigurationError as error:
        print(f"message-relay: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    # Only now: a start that ends with a bad configuration does not pay for the server's modules.
    import asyncio  # noqa: PLC0415

    from message_relay.server.process import serve  # noqa: PLC0415

    try:
        asyncio.run(serve(configuration))
    except OSError as error:
        print(f"message-relay: cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
