"""Client of the endpoints: sends one call at a time on each connection and reuses idle connections.

A call takes an idle connection of its endpoint's pool, or else opens a new one; no call waits for a
connection. The connection returns to the pool when the call ends after a complete, well-formed response that
permits reuse, or when the request was not sent. It is closed if the pool is at its limit, and after a
time-out, a cancellation, a malformed or incomplete response, a response followed by further bytes, or a
response that arrives before the request is written.
"""

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

# Share of the endpoint's connection idle timeout after which this side closes an idle connection. A request
# written to a connection that the endpoint is closing would end as a reset.
IDLE_TIMEOUT_SHARE = 0.75
log = logging.getLogger(__name__)


class EndpointCallClient:
    """Sends calls to all endpoints; holds the calls in flight and the idle connections.

    connection_idle_timeout_us: idle time after which endpoints close a connection; 0: none is reused.
    connect_timeout_us: limit for establishing a connection, and for a complete health check.
    max_idle_connections: limit for all endpoints together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        observer: CallObserver,
        connection_idle_timeout_us: int,
        connect_timeout_us: int,
        max_idle_connections: int,
    ) -> None:
        self.loop = loop
        self.observer = observer
        self.in_flight: set[EndpointCall] = set()
        self.calls_on_new_connections = 0  # includes calls whose connection was not established
        self.calls_on_reused_connections = 0
        self._connect_timeout_s = connect_timeout_us / US_PER_S
        idle_timeout_s = connection_idle_timeout_us * IDLE_TIMEOUT_SHARE / US_PER_S
        self._pools = ConnectionPools(loop, idle_timeout_s, max_idle_connections)

    @property
    def pools(self) -> dict[int, ConnectionPool]:
        """Pool of idle connections of each endpoint, by endpoint number."""
        return self._pools.by_endpoint

    @property
    def idle_connections(self) -> int:
        """Number of idle connections to all endpoints."""
        return self._pools.idle_connections

    def set_address(self, endpoint: int, address: Address) -> None:
        """Set the address of the endpoint; idle connections to a previous address are closed."""
        self._pools.set_address(endpoint, address)

    def remove_endpoint(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint; later calls to it end as NOT_ATTEMPTED."""
        self._pools.remove(endpoint)

    def close_idle_connections(self, endpoint: int) -> None:
        """Close the idle connections to the endpoint."""
        self._pools.close_idle(endpoint)

    def close(self) -> None:
        """Close all connections; no outcome is reported for the calls in flight."""
        for endpoint in list(self.pools):
            self._pools.close_idle(endpoint)
        for call in list(self.in_flight):
            call.abandon()

    # Start and cancellation of calls

    def send(self, endpoint: int, attempts: list[CallAttempt]) -> None:
        """Start a call with these attempts; the outcome of each is reported to the observer once."""
        self._start(EndpointCall(self, endpoint, attempts))

    def check_health(self, endpoint: int) -> None:
        """Start a health check of the endpoint; the result is reported to the observer once."""
        call = EndpointCall(self, endpoint, [], health_check=True)
        call.start_timer(self._connect_timeout_s, call.time_out)
        self._start(call)

    def abandon_unstarted(self) -> None:
        """End health checks, and calls of which no byte was written, as NOT_ATTEMPTED.

        None of their messages was applied.
        """
        for call in list(self.in_flight):
            if not any(attempt.started for attempt in call.attempts):
                call.abandon()
                self._end_before_sending(call, AttemptResult.NOT_ATTEMPTED)

    def cancel(self, message_number: int, attempt: int) -> None:
        """End an attempt that is the only one of its call, and close the call's connection.

        The result is CANCELLED, or NOT_ATTEMPTED if no byte of the request was written. An attempt in a batch
        is not cancelled: the call continues for the other messages.
        """
        for call in list(self.in_flight):
            if call.batch or not call.attempts:
                continue
            candidate = call.attempts[0]
            matches = candidate.message_number == message_number and candidate.attempt == attempt
            if matches and not candidate.ended:
                call.abandon()
                result = AttemptResult.CANCELLED if candidate.started else AttemptResult.NOT_ATTEMPTED
                call.end_attempt(candidate, AttemptOutcome(result))

    # Connection of a call

    def _start(self, call: EndpointCall) -> None:
        pool = self.pools.get(call.endpoint)
        if pool is None:
            self._end_before_sending(call, AttemptResult.NOT_ATTEMPTED)
            return
        self.in_flight.add(call)
        if not any(attempt.require_new_connection for attempt in call.attempts):
            connection = self._pools.take_idle(pool)
            if connection is not None:
                self.calls_on_reused_connections += 1
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
            self._end_before_sending(call, AttemptResult.NOT_ATTEMPTED)
            return
        self.calls_on_new_connections += 1
        call.connection = connection
        call.start_timer(
            self._connect_timeout_s, functools.partial(self._connect_timed_out, call, connection)
        )
        try:
            connection.connect(lambda error: self._connected(call, connection, error))
        except OSError as error:
            connection.close()
            self._end_after_connect_error(call, error)

    def _connected(self, call: EndpointCall, connection: HttpConnection, error: OSError | None) -> None:
        if error is None:
            self._write(call, connection)
        else:
            self._end_after_connect_error(call, error)

    def _connect_timed_out(self, call: EndpointCall, connection: HttpConnection) -> None:
        """Time out the call if the connection has not been established.

        In that state the connection has no handler and the request was not sent. A connection whose response
        is being aborted has no handler either.
        """
        if connection.handler is None and not call.sent:
            call.time_out()

    # Time-outs of a call

    def _start_timeouts(self, call: EndpointCall, on_new_connection: bool) -> None:
        """Start the time-out of each attempt; its length depends on whether the connection is new.

        Each attempt of a batch has its own timer, and the call ends with the last one. AttemptRunner makes
        the time-outs of a batch equal, as far as each message's deadline permits: a message that timed out
        sooner could be attempted again while its first copy is still in flight.
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
        pending_count = sum(not other.ended for other in call.attempts)
        if pending_count == 1:
            call.time_out()
            return
        result = AttemptResult.TIMEOUT if attempt.started else AttemptResult.CONNECT_FAILED
        call.end_attempt(attempt, AttemptOutcome(result))

    # Sending of a request

    def _write(self, call: EndpointCall, connection: HttpConnection) -> None:
        call.connection = connection
        call.attempts = [attempt for attempt in call.attempts if not attempt.ended]
        if not self._write_permitted(call):
            self._end_before_sending(call, AttemptResult.NOT_ATTEMPTED)
            self._pools.return_to_pool(call.endpoint, connection)
            return
        for attempt in call.attempts:
            attempt.started = True
        if call.health_check:
            request = health_check_request()
        else:
            request = delivery_request(call.attempts, call.deadline_s, self.loop.time)
        connection.send_request(request.method, request.path, request.headers, request.body, call)

    def _write_permitted(self, call: EndpointCall) -> bool:
        """Return whether the request may still be sent; this can change while a connection is established."""
        if not call.attempts and not call.health_check:
            return False
        if not self.observer.may_write(call.endpoint):
            return False
        return call.health_check or self.observer.record_starting_attempts(call.attempts)

    # End of a call

    def _end_after_connect_error(self, call: EndpointCall, error: OSError) -> None:
        local_error = error.errno in LOCAL_RESOURCE_ERRORS
        self._end_before_sending(
            call, AttemptResult.NOT_ATTEMPTED if local_error else AttemptResult.CONNECT_FAILED
        )

    def _end_before_sending(self, call: EndpointCall, result: AttemptResult) -> None:
        self._remove(call)
        call.report_health_check(result)
        call.end_all(AttemptOutcome(result))

    def _remove(self, call: EndpointCall) -> None:
        self.in_flight.discard(call)
        for timer in call.timers:
            timer.cancel()

    def release(self, call: EndpointCall) -> None:
        """Remove the call from those in flight and return its connection to the pool, unless it is closed."""
        if call not in self.in_flight:
            return
        self._remove(call)
        if call.connection is not None:
            self._pools.return_to_pool(call.endpoint, call.connection)
