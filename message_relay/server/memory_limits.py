"""Parts of the memory limit that clients may use, so that all of them together stay below it.

The rest is for the interpreter, the connections themselves, calls to endpoints and the endpoint list.
"""

from __future__ import annotations

from typing import NamedTuple

# Shares of the memory limit. At the least limit, 32 MB, the interpreter alone uses three quarters of it.
CLIENT_BUFFER_SHARE = 1 / 32
MESSAGE_SHARE = 1 / 32
IDENTIFIER_SHARE = 1 / 24


class MemoryLimits(NamedTuple):
    """Upper bounds in bytes.

    client_buffer_bytes: unfinished requests of all client connections; message_bytes: open messages, and
    those that wait for the policy's decision; identifier_bytes: ids of completed messages, and keys.
    """

    client_buffer_bytes: int
    message_bytes: int
    identifier_bytes: int

    @classmethod
    def of_process(cls, limit_bytes: int) -> MemoryLimits:
        """Return the bounds for a process with this memory limit."""
        return cls(
            client_buffer_bytes=int(limit_bytes * CLIENT_BUFFER_SHARE),
            message_bytes=int(limit_bytes * MESSAGE_SHARE),
            identifier_bytes=int(limit_bytes * IDENTIFIER_SHARE),
        )
