"""What the kernel knows of a socket's peer, without reading from the socket, and what its errors mean."""

from __future__ import annotations

import errno
import fcntl
import select
import socket
import struct
import termios

# Errors of a read or write that say nothing about the connection: it is tried again.
TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
PEER_STOPPED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_unread_data(sock: socket.socket) -> bool:
    """Return whether the kernel holds data from the peer that has not been read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def was_reset(sock: socket.socket) -> bool:
    """Return whether the connection has failed; the peer's data can be read even then.

    The kernel reports a failure once, so the caller must close the socket.
    """
    try:
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    except OSError:
        return False  # not known


def peer_stopped_sending(sock: socket.socket) -> bool:
    """Return whether the peer has closed the connection or shut down its sending side.

    This is known as soon as it has happened, also while data that was sent before is unread.
    """
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
        return any(event & PEER_STOPPED_EVENTS for _, event in poll.poll(0))
    except OSError:
        return False


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes the peer's kernel has not acknowledged yet, 0 if that is not known."""
    try:
        answer = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    return int(struct.unpack("i", answer)[0])
