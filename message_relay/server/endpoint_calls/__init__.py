"""Calls to endpoints: single, batched and health checks, over bounded connection pools."""

from message_relay.server.endpoint_calls.attempt import AttemptOutcome, CallAttempt, CallObserver
from message_relay.server.endpoint_calls.call import EndpointCall
from message_relay.server.endpoint_calls.client import EndpointCallClient

__all__ = ["AttemptOutcome", "CallAttempt", "CallObserver", "EndpointCall", "EndpointCallClient"]
