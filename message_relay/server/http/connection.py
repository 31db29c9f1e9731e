"""One HTTP/1.1 client connection on a non-blocking socket.

The connection reports whether the last byte of a request was written: until then, the server cannot have
executed the request. asyncio's transports hide this (a failed write looks like a complete one), so this
module reads and writes the socket itself. The connection never sends a request twice. It closes itself on
unexpected bytes, so that it is not reused after them.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Sequence

from message_relay.server.configuration import Address
from message_relay.server.http.response_handler import ResponseHandler
from message_relay.server.http.response_parser import ResponseParser

Headers = Sequence[tuple[str, str]]
# Errors of this host: nothing was sent, and they are no evidence of a fault of the server.
LOCAL_RESOURCE_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
READ_SIZE_BYTES = 1 << 16


def _ignore_close() -> None:
    """Do nothing when the connection is closed; the default of `on_close`."""


class HttpConnection:
    """Client connection that carries one request at a time.

    `on_close` is called once, when the connection is closed by either side. The constructor raises `OSError`
    if no socket can be created, see `LOCAL_RESOURCE_ERRORS`.
    """

    __slots__ = ("_bytes_sent", "_request", "_response", "address", "closed", "loop", "on_close", "sock")

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        self.loop = loop
        self.address = address
        self.closed = False
        self.on_close: Callable[[], None] = _ignore_close
        self._response: ResponseParser | None = None  # to the request in flight
        self._request = b""  # empty once it is written: an idle connection keeps no copy of it
        self._bytes_sent = 0
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.sock = socket.socket(family, socket.SOCK_STREAM)
        self.sock.setblocking(False)

    @property
    def handler(self) -> ResponseHandler | None:
        """Handler of the request in flight, None if there is none."""
        return self._response.handler if self._response else None

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the latest request was written to the socket."""
        return self._bytes_sent == len(self._request)

    def connect(self, done: Callable[[OSError | None], None]) -> None:
        """Start to connect; call `done` once, from the event loop, with the error or None for success.

        `done` is not called if the connection is closed first. Raises `OSError` if the address is invalid.
        """
        code = self.sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            self.loop.call_soon(self._connect_ended, done, code)
            return
        self.loop.add_writer(self.sock, self._connect_ended, done, None)

    def _connect_ended(self, done: Callable[[OSError | None], None], code: int | None) -> None:
        if self.closed:
            return
        self.loop.remove_writer(self.sock)
        if code is None:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close()
            done(OSError(code, "connect"))
            return
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.loop.add_reader(self.sock, self._on_readable)
        done(None)

    def is_stale(self) -> bool:
        """Return whether this idle connection was closed by either side or has unread bytes."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return self.closed
        except OSError:
            return True
        return True

    def send_request(
        self, method: str, target: str, headers: Headers, body: bytes, handler: ResponseHandler
    ) -> None:
        """Send a request; `handler` receives its progress and the response.

        Header values are not escaped: those that originate from clients were verified to be printable when
        the message was accepted.
        """
        self._response = ResponseParser(handler)
        host, port = self.address
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}:{port}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._request = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        self._bytes_sent = 0
        self._write()

    def _write(self) -> None:
        try:
            self._bytes_sent += self.sock.send(memoryview(self._request)[self._bytes_sent :])
        except BlockingIOError:
            pass
        except OSError:
            self._close_as_lost()
            return
        if not self.request_written:
            self.loop.add_writer(self.sock, self._write)
            return
        self.loop.remove_writer(self.sock)
        self._request, self._bytes_sent = b"", 0
        if self._response is not None:
            self._response.handler.request_written()

    def _on_readable(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:  # not an end of the stream: a response without a length is not complete
            self._process_broken_connection()
            return
        response = self._response
        if response is None:  # end of the stream, or bytes without a request in flight
            self.close()
            return
        if data:
            self._process(response, data)
        else:
            self._process_end_of_stream(response)
        if self._response is not response:
            del response.parser  # breaks the reference cycle, see ResponseParser

    def _process_broken_connection(self) -> None:
        response = self._response
        self._close_as_lost()
        if response is not None:
            del response.parser

    def _process(self, response: ResponseParser, data: bytes) -> None:
        if not response.feed(data):
            self._close_as_malformed()
        elif response.complete and not self.closed:
            self._finish_response(response)

    def _process_end_of_stream(self, response: ResponseParser) -> None:
        # A response with neither a length nor chunked encoding ends with the connection.
        if response.headers_complete and not response.delimited:
            self._finish_response(response)
        else:
            self._close_as_lost()

    def _finish_response(self, response: ResponseParser) -> None:
        self._response = None
        if not self.request_written or not response.keep_alive or response.trailing_bytes:
            self.close()
        response.handler.response_complete()

    def _close_as_malformed(self) -> None:
        """Close the connection and report a malformed response.

        If the request was not written to its last byte, the server cannot have executed it: a lost connection
        is reported instead.
        """
        handler, request_written = self.handler, self.request_written
        self.close()
        if handler is None:
            return
        if request_written:
            handler.response_malformed()
        else:
            handler.connection_lost(False)

    def _close_as_lost(self) -> None:
        handler, request_written = self.handler, self.request_written
        self.close()
        if handler is not None:
            handler.connection_lost(request_written)

    def close(self) -> None:
        """Close the connection.

        The handler of a request in flight is not called afterwards, except for bytes that are being parsed.
        """
        if self.closed:
            return
        self.closed = True
        self._response = None
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        on_close, self.on_close = self.on_close, _ignore_close  # it may refer to this connection
        on_close()
