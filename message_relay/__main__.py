"""`python -m message_relay`: run one instance of the relay."""

from __future__ import annotations

import os
import sys

from message_relay.server.configuration import ConfigurationError, load_configuration
from message_relay.server.log_output import configure_logging

EXIT_OK = 0
EXIT_CANNOT_START = 1
EXIT_BAD_CONFIGURATION = 2


def main() -> int:
    """Run one instance until it ends and return the exit status.

    The status is 2 if the configuration is invalid and 1 if the instance cannot start; in both cases one line
    on standard error gives the reason.
    """
    configure_logging()
    try:
        configuration = load_configuration(os.environ)
    except ConfigurationError as error:
        print(f"message-relay: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    # Imported after the configuration was validated, so that an invalid one is reported without loading them.
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
