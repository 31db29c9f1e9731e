"""The operators' own address: one line in, one answer, close. It parses, asks the host and answers."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import re
from typing import Protocol

from message_relay.server.configuration import Address

LINE = 512  # bytes of a call, its end included
CALL_S = 2.0  # a call must be whole within this
LINGER_S = 0.5  # what a caller sends behind its call is read for so long: closing on it would lose the answer
CALLERS = 24  # at once; the one that came first goes when there are more
ID = re.compile(r"[\x21-\x7e]{1,256}")
YES, NO, END = "ACK", "NAK", "--"
log = logging.getLogger(__name__)


class Refused(Exception):
    """The call is not carried out; the text says why."""


class Operated(Protocol):
    """What the console asks; each may raise Refused."""

    def health(self) -> None: ...
    def figures(self) -> str: ...
    def cordon(self, uid: str) -> None: ...
    def uncordon(self, uid: str) -> None: ...
    def quiesce(self) -> None: ...
    def resume(self) -> None: ...


def answer(line: bytes, host: Operated) -> str:
    """The answer to one call."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        return f"{NO} a call is plain ASCII\n"
    plain = {"health": host.health, "quiesce": host.quiesce, "resume": host.resume}
    named = {"cordon": host.cordon, "uncordon": host.uncordon}
    name, args = (words[0], words[1:]) if words else ("", [])
    try:
        if name in plain and not args:
            plain[name]()
        elif name == "counters" and not args:
            return f"{YES}\n{host.figures()}{END}\n"
        elif name in named and len(args) == 1 and ID.fullmatch(args[0]):
            named[name](args[0])
        elif name in named:
            raise Refused(f"{name} takes the id of one endpoint")
        elif name in plain or name == "counters":
            raise Refused(f"{name} takes nothing more")
        else:
            raise Refused("no such call")
    except Refused as why:
        return f"{NO} {why}\n"
    except Exception:
        log.exception("an operator's call failed")
        return f"{NO} internal error\n"
    return f"{YES}\n"


class Console:
    """Listens for operators."""

    def __init__(self, host: Operated) -> None:
        self.host = host
        self.server: asyncio.Server | None = None
        self.callers: dict[asyncio.StreamWriter, None] = {}  # the first to come first

    async def listen(self, address: Address) -> int:
        self.server = await asyncio.start_server(self._serve, *address, limit=LINE)
        return int(self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.callers[writer] = None
        if len(self.callers) > CALLERS:
            next(iter(self.callers)).transport.abort()
        try:
            # Cancelled only with the whole process: an end of one caller is no error of the courier.
            with contextlib.suppress(OSError, asyncio.CancelledError):
                writer.write((await self._call(reader)).encode("ascii", "replace"))
                writer.write_eof()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(LINGER_S):
                        while await reader.read(LINE):
                            pass
        finally:
            self.callers.pop(writer, None)
            writer.transport.abort() if writer.is_closing() else writer.close()

    async def _call(self, reader: asyncio.StreamReader) -> str:
        try:
            async with asyncio.timeout(CALL_S):
                return answer(await reader.readuntil(b"\n"), self.host)
        except TimeoutError:
            return f"{NO} the call did not become whole in time\n"
        except asyncio.LimitOverrunError:
            return f"{NO} the line is too long\n"
        except asyncio.IncompleteReadError:  # a cut line could name another endpoint
            return f"{NO} the line has no end\n"

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.callers):
            writer.transport.abort()
