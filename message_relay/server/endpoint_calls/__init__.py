"""Calls to endpoints over bounded connection pools: single messages, batches and health checks.

Each attempt ends with one `AttemptOutcome`. Its result states whether the message may have been applied.

Proven not applied:

- CONNECT_FAILED: the connection was not established; or the connection broke, the response was malformed or
  the call timed out before the last byte of the request was written.
- REJECTED: the endpoint sent a complete, well-formed response with status 429 or 503, or the state "busy" for
  the message in the response to a batch.
- NOT_ATTEMPTED: no byte of the request was written, or the endpoint stated that it did nothing, in a
  complete, well-formed response: status 400, 410, 413 or 504, a 429 or 503 because no slot was free, or the
  state "void" or "used_up" for the message in the response to a batch.

Possibly applied (an ambiguous failure):

- ERROR: the endpoint sent status 500, an unexpected status, a malformed or incomplete response, the state
  "failed" for the message in the response to a batch, or no state for it.
- RESET, TIMEOUT: the connection broke or the call timed out after the last byte of the request was written.
  An attempt that times out before the others of its batch ends with TIMEOUT if the first byte of the request
  may have been written.
- CANCELLED: the attempt was cancelled after the first byte of the request may have been written.

Applied:

- OK: the endpoint sent the complete status line of a 200 for a single message, or the state "done" for the
  message in the response to a batch.

The response to a batch has status 200 and one state for each message, so that each attempt has an outcome of
its own. Any other status, and any failure of the call, applies to all messages of the batch.
"""

from message_relay.server.endpoint_calls.attempt import AttemptOutcome, CallAttempt, CallObserver
from message_relay.server.endpoint_calls.call import EndpointCall
from message_relay.server.endpoint_calls.client import EndpointCallClient

__all__ = ["AttemptOutcome", "CallAttempt", "CallObserver", "EndpointCall", "EndpointCallClient"]
