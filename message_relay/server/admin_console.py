"""The operators' console: one command line in, one answer, close.

It parses the line, carries the command out through `AdminCommands` and sends the answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
from collections.abc import Callable
from typing import Protocol

from message_relay.server.configuration import Address

MAX_LINE_BYTES = 512  # of a command, its line end included
COMMAND_TIMEOUT_S = 2.0  # a command must be complete within this
LINGER_S = 0.5  # what a caller sends after its command is read for this: closing on it would lose the answer
MAX_CONNECTIONS = 24  # at once; the oldest is aborted when there are more
ENDPOINT_ID = re.compile(r"[\x21-\x7e]{1,256}")
ACKNOWLEDGED = "ACK"
REJECTED = "NAK"
END_OF_METRICS = "--"
log = logging.getLogger(__name__)


class CommandRejectedError(Exception):
    """The command is not carried out; the text is the reason that the operator reads."""


class AdminCommands(Protocol):
    """What the console can ask for; each method may raise CommandRejectedError."""

    def check_health(self) -> None:
        """Return if the instance is ready for clients."""

    def render_metrics(self) -> str:
        """Return the metrics, one a line."""

    def cordon(self, uid: str) -> None:
        """Start no more attempts at the endpoint."""

    def uncordon(self, uid: str) -> None:
        """Start attempts at the endpoint again."""

    def quiesce(self) -> None:
        """Send clients away and finish what is open."""

    def resume(self) -> None:
        """Undo quiesce()."""


def execute_line(line: bytes, commands: AdminCommands) -> str:
    """Carry out one command line and return the answer."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return _rejection("a call is plain ASCII")
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
    """Carry out one command; return what follows the acknowledgement."""
    without_arguments: dict[str, Callable[[], str | None]] = {
        "health": commands.check_health,
        "quiesce": commands.quiesce,
        "resume": commands.resume,
        "counters": commands.render_metrics,
    }
    with_endpoint = {"cordon": commands.cordon, "uncordon": commands.uncordon}
    if name in without_arguments:
        if arguments:
            raise CommandRejectedError(f"{name} takes nothing more")
        result = without_arguments[name]()
        return f"{result}{END_OF_METRICS}\n" if name == "counters" else ""
    if name in with_endpoint:
        if len(arguments) != 1 or not ENDPOINT_ID.fullmatch(arguments[0]):
            raise CommandRejectedError(f"{name} takes the id of one endpoint")
        with_endpoint[name](arguments[0])
        return ""
    raise CommandRejectedError("no such call")


def _rejection(reason: str) -> str:
    return f"{REJECTED} {reason}\n"


class AdminConsole:
    """Listens for operators."""

    def __init__(self, commands: AdminCommands) -> None:
        self.commands = commands
        self.server: asyncio.Server | None = None
        self.connections: dict[asyncio.StreamWriter, None] = {}  # the oldest first

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
            # Cancelled only with the whole process: a caller that goes away is no error of the relay.
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
            return _rejection("the call did not become whole in time")
        except asyncio.LimitOverrunError:
            return _rejection("the line is too long")
        except asyncio.IncompleteReadError:  # a truncated line could name another endpoint
            return _rejection("the line has no end")

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
