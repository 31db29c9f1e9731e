"""Console for operators: reads one command line per connection, executes it and sends the answer.

The commands are implemented by `AdminCommands`; this module parses the line and formats the answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
from collections.abc import Callable
from typing import Protocol

from message_relay.server.configuration import Address

MAX_LINE_BYTES = 512  # of a command line, without its line feed
COMMAND_TIMEOUT_S = 2.0  # from the connect to the end of the command line
# Input after the command is discarded for this time: closing with unread input would lose the answer.
LINGER_S = 0.5
MAX_CONNECTIONS = 24  # at once; with a further one the oldest is aborted
ENDPOINT_ID = re.compile(r"[\x21-\x7e]{1,256}")
ACKNOWLEDGED = "ACK"
REJECTED = "NAK"
END_OF_METRICS = "--"
log = logging.getLogger(__name__)


class CommandRejectedError(Exception):
    """A command was not executed. The text is the reason, which is sent to the operator."""


class AdminCommands(Protocol):
    """Commands of the console; each method may raise CommandRejectedError."""

    def check_health(self) -> None:
        """Raise CommandRejectedError with the reason if the instance is not ready for clients."""

    def render_metrics(self) -> str:
        """Return the metrics, one per line."""

    def cordon(self, uid: str) -> None:
        """Start no further attempts at the endpoint."""

    def uncordon(self, uid: str) -> None:
        """Allow attempts at the endpoint again."""

    def quiesce(self) -> None:
        """Report the instance as not ready; later also close idle client connections and reject messages."""

    def resume(self) -> None:
        """Serve clients again after quiesce()."""


def execute_line(line: bytes, commands: AdminCommands) -> str:
    """Execute one command line and return the answer."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return _rejection(f"expected a command in ASCII, got {line!r:.80}")
    name = words[0] if words else ""
    try:
        result = _execute(name, words[1:], commands)
    except CommandRejectedError as reason:
        return _rejection(str(reason))
    except Exception:
        log.exception("console command failed: command=%r", name)
        return _rejection("internal error")
    return f"{ACKNOWLEDGED}\n{result}"


def _execute(name: str, arguments: list[str], commands: AdminCommands) -> str:
    """Execute one command; return the text that follows the acknowledgement."""
    without_arguments: dict[str, Callable[[], str | None]] = {
        "health": commands.check_health,
        "quiesce": commands.quiesce,
        "resume": commands.resume,
        "counters": commands.render_metrics,
    }
    with_endpoint = {"cordon": commands.cordon, "uncordon": commands.uncordon}
    if name in without_arguments:
        if arguments:
            raise CommandRejectedError(f"{name} expects no arguments, got {' '.join(arguments)!r:.80}")
        result = without_arguments[name]()
        return f"{result}{END_OF_METRICS}\n" if name == "counters" else ""
    if name in with_endpoint:
        if len(arguments) != 1 or not ENDPOINT_ID.fullmatch(arguments[0]):
            raise CommandRejectedError(
                f"{name} expects one endpoint id of 1 to 256 printable ASCII characters, "
                f"got {' '.join(arguments)!r:.80}"
            )
        with_endpoint[name](arguments[0])
        return ""
    raise CommandRejectedError(
        f"unknown command {name!r:.80}, expected one of {', '.join([*without_arguments, *with_endpoint])}"
    )


def _rejection(reason: str) -> str:
    return f"{REJECTED} {reason}\n"


class AdminConsole:
    """TCP server of the console."""

    def __init__(self, commands: AdminCommands) -> None:
        self.commands = commands
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.StreamWriter, None] = {}  # oldest first

    async def listen(self, address: Address) -> int:
        """Listen at the address; return the port. Raises OSError if it cannot be bound."""
        self.server = await asyncio.start_server(self._serve, *address, limit=MAX_LINE_BYTES)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections[writer] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            oldest.transport.abort()
        try:
            # Cancelled only when the process ends. A caller that disconnects is not an error of the relay.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                answer = await self._read_and_execute(reader)
                writer.write(answer.encode("ascii", "replace"))
                writer.write_eof()
                await _discard_input(reader)
        finally:
            self.connections.pop(writer, None)
            if writer.is_closing():
                writer.transport.abort()
            else:
                writer.close()

    async def _read_and_execute(self, reader: asyncio.StreamReader) -> str:
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                line = await reader.readuntil(b"\n")
                return execute_line(line, self.commands)
        except TimeoutError:
            return _rejection(f"command line was not complete within {COMMAND_TIMEOUT_S:g} s")
        except asyncio.LimitOverrunError:
            return _rejection(f"command line is too long, expected at most {MAX_LINE_BYTES} bytes")
        except asyncio.IncompleteReadError:  # not executed: a truncated id could be that of another endpoint
            return _rejection("command line is not terminated by a line feed")

    def close(self) -> None:
        """Stop listening and abort the open connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


async def _discard_input(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LINGER_S):
            while await reader.read(MAX_LINE_BYTES):
                pass
