"""The client that calls the endpoints: one call at a time on each connection, connections are reused."""

from __future__ import annotations

import asyncio
import functools
import logging

from message_relay.model import AttemptResult
from message_relay.server.configuration import Address
from message_relay.server.endpoint_calls.attempt import AttemptOutcome, CallAttempt, CallObserver
from message_relay.server.endpoint_calls.call import EndpointCall
from message_relay.server.endpoint_calls.connection_pool import ConnectionPool, ConnectionPools
from message_relay.server.endpoint_calls.requests import delivery_request, health_check_request
from message_relay.server.endpoint_calls.responses import US_PER_S
from message_relay.server.http.connection import LOCAL_RESOURCE_ERRORS, HttpConnection

# Idle connections are closed at this share of the time after which the endpoint would close them: a request
# written to a connection that the endpoint is closing would end as a reset.
IDLE_TIMEOUT_SHARE = 0.75
log = logging.getLogger(__name__)


class EndpointCallClient:
    """The calls in flight and the connections to all endpoints.

    connection_idle_us: after how long endpoints close idle connections; 0: none is kept.
    connect_timeout_us: the limit for a connection to be established, and for a health check altogether.
    max_idle_connections: to all endpoints together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        observer: CallObserver,
        connection_idle_us: int,
        connect_timeout_us: int,
        max_idle_connections: int,
    ) -> None:
        self.loop = loop
        self.observer = observer
        self.in_flight: set[EndpointCall] = set()
        self.opened = 0  # calls on new connections
        self.reused = 0  # calls on reused ones
        self._connect_timeout_s = connect_timeout_us / US_PER_S
        idle_timeout_s = connection_idle_us * IDLE_TIMEOUT_SHARE / US_PER_S
        self._pools = ConnectionPools(loop, idle_timeout_s, max_idle_connections)

    @property
    def pools(self) -> dict[int, ConnectionPool]:
        """The idle connections by endpoint."""
        return self._pools.by_endpoint

    @property
    def idle_connections(self) -> int:
        """The number of idle connections to all endpoints."""
        return self._pools.idle_connections

    def set_address(self, endpoint: int, address: Address) -> None:
        """Set where the endpoint is; one that moved gets new connections."""
        self._pools.set_address(endpoint, address)

    def remove_endpoint(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint; it cannot be called any more."""
        self._pools.remove(endpoint)

    def close_idle_connections(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint."""
        self._pools.close_idle(endpoint)

    def close(self) -> None:
        """Close all connections; the calls in flight are abandoned without outcomes."""
        for endpoint in list(self.pools):
            self._pools.close_idle(endpoint)
        for call in list(self.in_flight):
            call.abandon()

    # What the user asks for

    def send(self, endpoint: int, attempts: list[CallAttempt]) -> None:
        """Call the endpoint with these messages; each attempt's outcome is reported once."""
        self._start(EndpointCall(self, endpoint, attempts))

    def check_health(self, endpoint: int) -> None:
        """Ask the endpoint for its health; the result is reported once."""
        call = EndpointCall(self, endpoint, [], health_check=True)
        call.start_timer(self._connect_timeout_s, call.time_out)
        self._start(call)

    def abandon_unstarted(self) -> None:
        """Give up the calls of which no byte was written: they have provably not been executed."""
        for call in list(self.in_flight):
            if not any(attempt.started for attempt in call.attempts):
                call.abandon()
                self._end_unsent(call, AttemptResult.NOT_ATTEMPTED)

    def cancel(self, message_number: int, attempt: int) -> None:
        """Stop waiting for a call with one message; a message in a batch stays in it."""
        for call in list(self.in_flight):
            if call.batch or not call.attempts:
                continue
            candidate = call.attempts[0]
            wanted = candidate.message_number == message_number and candidate.attempt == attempt
            if wanted and not candidate.ended:
                call.abandon()
                result = AttemptResult.CANCELLED if candidate.started else AttemptResult.NOT_ATTEMPTED
                call.end_attempt(candidate, AttemptOutcome(result))

    # How a call gets its connection

    def _start(self, call: EndpointCall) -> None:
        pool = self.pools.get(call.endpoint)
        if pool is None:
            self._end_unsent(call, AttemptResult.NOT_ATTEMPTED)
            return
        self.in_flight.add(call)
        if not any(attempt.require_new_connection for attempt in call.attempts):
            connection = self._pools.take_idle(pool)
            if connection is not None:
                self.reused += 1
                self._start_timeouts(call, on_new_connection=False)
                self._write(call, connection)
                return
        self._start_timeouts(call, on_new_connection=True)
        self._start_on_new_connection(call, pool.address)

    def _start_on_new_connection(self, call: EndpointCall, address: Address) -> None:
        try:
            connection = HttpConnection(self.loop, address)
        except OSError as error:
            log.error("could not create a socket for a call: endpoint=%d error=%s", call.endpoint, error)
            self._end_unsent(call, AttemptResult.NOT_ATTEMPTED)
            return
        self.opened += 1
        call.connection = connection
        call.start_timer(
            self._connect_timeout_s, functools.partial(self._connect_timed_out, call, connection)
        )
        try:
            connection.connect(lambda error: self._connected(call, connection, error))
        except OSError as error:
            connection.close()
            self._end_unconnected(call, error)

    def _connected(self, call: EndpointCall, connection: HttpConnection, error: OSError | None) -> None:
        if error is None:
            self._write(call, connection)
        else:
            self._end_unconnected(call, error)

    def _connect_timed_out(self, call: EndpointCall, connection: HttpConnection) -> None:
        if connection.handler is None and not call.status:
            call.time_out()

    # How a call is timed

    def _start_timeouts(self, call: EndpointCall, on_new_connection: bool) -> None:
        """Start the time-outs, which depend on the connection that the call is on.

        The messages of a batch share its fate: one that ended sooner could be attempted again while its first
        copy is still in flight. The user limits each time-out by its message's deadline.
        """
        for attempt in call.attempts:
            attempt.on_new_connection = on_new_connection
            timeout_us = attempt.timeout_us
            if on_new_connection and attempt.new_connection_timeout_us:
                timeout_us = attempt.new_connection_timeout_us
            timeout_s = timeout_us / US_PER_S
            call.deadline_s = max(call.deadline_s, call.started_at_s + timeout_s)
            call.start_timer(timeout_s, functools.partial(self._attempt_timed_out, call, attempt))

    def _attempt_timed_out(self, call: EndpointCall, attempt: CallAttempt) -> None:
        if attempt.ended:
            return
        pending_attempts = sum(not other.ended for other in call.attempts)
        if pending_attempts == 1:
            call.time_out()
            return
        result = AttemptResult.TIMEOUT if attempt.started else AttemptResult.CONNECT_FAILED
        call.end_attempt(attempt, AttemptOutcome(result))

    # How a call is written

    def _write(self, call: EndpointCall, connection: HttpConnection) -> None:
        call.connection = connection
        call.attempts = [attempt for attempt in call.attempts if not attempt.ended]
        if not self._may_write(call):
            self._end_unsent(call, AttemptResult.NOT_ATTEMPTED)
            self._pools.keep(call.endpoint, connection)
            return
        for attempt in call.attempts:
            attempt.started = True
        if call.health_check:
            request = health_check_request()
        else:
            request = delivery_request(call.attempts, call.deadline_s, self.loop.time)
        connection.send_request(request.method, request.path, request.headers, request.body, call)

    def _may_write(self, call: EndpointCall) -> bool:
        """Ask again: things may have changed while the connection was being established."""
        if not call.attempts and not call.health_check:
            return False
        if not self.observer.may_write(call.endpoint):
            return False
        return call.health_check or self.observer.attempts_starting(call.attempts)

    # How a call ends

    def _end_unconnected(self, call: EndpointCall, error: OSError) -> None:
        local = error.errno in LOCAL_RESOURCE_ERRORS
        self._end_unsent(call, AttemptResult.NOT_ATTEMPTED if local else AttemptResult.CONNECT_FAILED)

    def _end_unsent(self, call: EndpointCall, result: AttemptResult) -> None:
        self._remove(call)
        call.report_health_check(result)
        call.end_all(AttemptOutcome(result))

    def _remove(self, call: EndpointCall) -> None:
        self.in_flight.discard(call)
        for timer in call.timers:
            timer.cancel()

    def release(self, call: EndpointCall) -> None:
        """End the call; its connection, if still usable, becomes idle."""
        if call not in self.in_flight:
            return
        self._remove(call)
        if call.connection is not None:
            self._pools.keep(call.endpoint, call.connection)
