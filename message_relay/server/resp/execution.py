"""Execution of one complete request of a client."""

from __future__ import annotations

from message_relay.server.resp import replies
from message_relay.server.resp.commands import PingRequest, QuitRequest, SubmitRequest, parse_request
from message_relay.server.resp.connection_owner import ConnectionOwner
from message_relay.server.resp.reader import RawRequest
from message_relay.server.resp.reply_handle import ReplyHandle


def execute(request: RawRequest, reply: ReplyHandle, owner: ConnectionOwner) -> bool:
    """Execute a request and send its reply, or let the owner send it later; return False for QUIT.

    Raises InvalidRequestError if the request is not valid; nothing was sent then.
    """
    if request.discarded and not all(request.arguments[:-1]):
        owner.refuse(reply)  # what it asked for is not known
        return True
    match parse_request(request.arguments, discarded=request.discarded):
        case SubmitRequest() as submission:
            owner.submit(submission, reply)
        case PingRequest(text):
            reply.send(_reply_to_ping(text, owner.unready_reason()))
        case QuitRequest():
            return False
    return True


def _reply_to_ping(text: bytes | None, unready_reason: str) -> bytes:
    if unready_reason:
        return replies.error(unready_reason)
    return replies.PONG if text is None else replies.bulk_string(text)
