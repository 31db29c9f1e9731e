"""Outcomes of endpoint calls, and the reuse of connections, over loopback sockets."""

import asyncio
import socket
import threading

import pytest
from loopback import Endpoint, answer, bounded

from message_relay.model import AttemptResult
from message_relay.server.endpoint_calls import AttemptOutcome, CallAttempt, EndpointCallClient
from message_relay.server.http.connection import HttpConnection
from message_relay.server.http.response_handler import ResponseHandler


class RecordingObserver:
    """Observer that owns a client, permits each call unless `allowed` is False, and records the reports."""

    def __init__(self, **changes):
        self.ended, self.retry_afters_us, self.health, self.started = asyncio.Queue(), [], asyncio.Queue(), []
        self.load_reports, self.written = [], []
        self.allowed = True
        options = {
            "connection_idle_timeout_us": 10_000_000,
            "connect_timeout_us": 1_000_000,
            "max_idle_connections": 20,
            **changes,
        }
        self.client = EndpointCallClient(asyncio.get_running_loop(), self, **options)

    def may_write(self, endpoint):
        return self.allowed

    def call_written(self, message_count):
        self.written.append(message_count)

    def record_starting_attempts(self, attempts):
        self.started += [attempt.message_id for attempt in attempts]
        return True

    def attempt_ended(self, attempt, endpoint, outcome, latency_us):
        self.ended.put_nowait((attempt.message_id, outcome))

    def retry_after_received(self, endpoint, retry_after_us):
        self.retry_afters_us.append(retry_after_us)

    def load_report_received(self, endpoint, values):
        self.load_reports.append(values)

    def health_check_ended(self, endpoint, result, latency_us):
        self.health.put_nowait(result)

    async def send(self, port, *message_ids, timeout_us=5_000_000, body=b"x"):
        """Send the messages in one call; return the id and the outcome of each."""
        self.client.set_address(1, ("127.0.0.1", port))
        attempts = [
            CallAttempt(number, 0, message_id, "k" + message_id, body, timeout_us)
            for number, message_id in enumerate(message_ids)
        ]
        self.client.send(1, attempts)
        return [await bounded(self.ended.get()) for _ in message_ids]


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (answer(200), AttemptOutcome(AttemptResult.OK, message_ended=True)),
        (answer(500), AttemptOutcome(AttemptResult.ERROR)),
        (answer(429, Retry_After="0.25"), AttemptOutcome(AttemptResult.REJECTED, retry_after_us=250_000)),
        (answer(503), AttemptOutcome(AttemptResult.REJECTED)),
        (answer(503, Slots_Taken="1"), AttemptOutcome(AttemptResult.NOT_ATTEMPTED)),
        (answer(504), AttemptOutcome(AttemptResult.NOT_ATTEMPTED)),
        (answer(410), AttemptOutcome(AttemptResult.NOT_ATTEMPTED, message_ended=True)),
        (answer(413), AttemptOutcome(AttemptResult.NOT_ATTEMPTED)),
        ("reset", AttemptOutcome(AttemptResult.RESET)),
        ("hang", AttemptOutcome(AttemptResult.TIMEOUT)),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal",
            AttemptOutcome(AttemptResult.OK, message_ended=True),
        ),
        (b"nonsense\r\n\r\n", AttemptOutcome(AttemptResult.ERROR, malformed=True)),
    ],
)
def test_each_response_has_its_outcome(step, outcome):
    async def run():
        endpoint = await Endpoint(step).start()
        observer = RecordingObserver()
        timeout = 100_000 if step == "hang" else 5_000_000
        assert await observer.send(endpoint.port, "a", timeout_us=timeout) == [("a", outcome)]
        path, headers, body, _ = await endpoint.call()
        assert (path, headers["x-request-id"], headers["idempotency-key"]) == ("/events", "a", "ka")
        assert body == b"x"
        assert 1 <= int(headers["x-timeout-ms"]) <= 5000
        if step == "hang":  # a timed-out call closes its connection, which frees the slot of the endpoint
            await bounded(endpoint.closed_connections.get())
        assert observer.retry_afters_us == ([250_000] if outcome.retry_after_us else [])
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


def test_a_message_whose_connection_was_refused_was_not_attempted():
    async def run():
        observer = RecordingObserver()
        assert await observer.send(free_port(), "a") == [("a", AttemptOutcome(AttemptResult.CONNECT_FAILED))]
        assert observer.started == []  # no byte was written, so no attempt is recorded

    asyncio.run(run())


def test_a_message_whose_connection_was_never_established_was_not_attempted():
    # A full accept queue drops the handshake, as an unreachable host does.
    async def run():
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            await asyncio.sleep(0.05)
            observer = RecordingObserver(connect_timeout_us=100_000)
            assert await observer.send(listener.getsockname()[1], "a") == [
                ("a", AttemptOutcome(AttemptResult.CONNECT_FAILED))
            ]
            for filler in fillers:
                filler.close()

    asyncio.run(run())


def test_a_request_lost_before_its_last_byte_was_not_executed():
    # A request counts as written once the kernel has accepted its last byte. asyncio's transports would
    # report it as written as soon as it is in their buffer.
    async def run():
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()

        def read_ten_bytes_and_reset():
            peer, _ = listener.accept()
            peer.recv(10)
            peer.close()  # unread bytes cause a reset

        thread = threading.Thread(target=read_ten_bytes_and_reset)
        thread.start()
        loop = asyncio.get_running_loop()
        connected, lost = loop.create_future(), loop.create_future()

        class LossRecorder(ResponseHandler):
            def connection_lost(self, request_written):
                lost.set_result(request_written)

        connection = HttpConnection(loop, listener.getsockname())
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        connection.connect(connected.set_result)
        assert await bounded(connected) is None
        connection.send_request("POST", "/events", [], b"x" * 4_000_000, LossRecorder())
        assert await bounded(lost) is False
        thread.join()
        listener.close()

    asyncio.run(run())


def test_a_connection_is_reused_unless_it_is_stale():
    async def run():
        endpoint = await Endpoint().start()
        observer = RecordingObserver()
        for message_id in "abc":
            await observer.send(endpoint.port, message_id)
        assert endpoint.accepted == 1
        endpoint.drop()  # closes the idle connection: a request written to it would be reset
        await bounded(endpoint.closed_connections.get())
        assert (await observer.send(endpoint.port, "d"))[0][1].result is AttemptResult.OK
        assert endpoint.accepted == 2
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


def test_idle_connections_are_closed_before_the_endpoint_closes_them():
    async def run():
        endpoint = await Endpoint().start()
        observer = RecordingObserver(connection_idle_timeout_us=100_000)
        await observer.send(endpoint.port, "a")
        await bounded(endpoint.closed_connections.get())  # closed by the client
        assert not observer.client.pools[1].idle
        await endpoint.stop()

    asyncio.run(run())


def test_a_batch_has_an_outcome_for_each_message():
    async def run():
        rows = (
            b'[{"id":"a","state":"done"},{"id":"b","state":"failed"},{"id":"c","state":"busy"},'
            b'{"id":"d","state":"void"},{"id":"e","state":"used_up"}]'
        )
        endpoint = await Endpoint(
            answer(200, rows, Retry_After="0.5"), answer(429, Retry_After="1"), answer(200, b"[]"), "reset"
        ).start()
        observer = RecordingObserver()
        outcomes = dict(await observer.send(endpoint.port, *"abcde"))
        path, headers, body, _ = await endpoint.call()
        assert path == "/events/bundle" and b'"key":"ka"' in body and b'"body":"eA=="' in body
        assert {outcome.retry_after_us for outcome in outcomes.values()} == {500_000}
        assert {name: (outcome.result, outcome.message_ended) for name, outcome in outcomes.items()} == {
            "a": (AttemptResult.OK, True),
            "b": (AttemptResult.ERROR, False),
            "c": (AttemptResult.REJECTED, False),
            "d": (AttemptResult.NOT_ATTEMPTED, True),
            "e": (AttemptResult.NOT_ATTEMPTED, False),
        }
        assert {outcome.result for _, outcome in await observer.send(endpoint.port, *"fg")} == {
            AttemptResult.REJECTED
        }
        assert {outcome.result for _, outcome in await observer.send(endpoint.port, *"hi")} == {
            AttemptResult.ERROR
        }  # the messages may have been applied
        assert {outcome.result for _, outcome in await observer.send(endpoint.port, *"jk")} == {
            AttemptResult.RESET
        }
        assert observer.retry_afters_us == [500_000, 1_000_000]
        await endpoint.stop()

    asyncio.run(run())


def test_a_call_that_is_not_permitted_after_connecting_is_not_attempted():
    # A Retry-After or a drain can arrive while the connection for a call is being established.
    async def run():
        endpoint = await Endpoint().start()
        observer = RecordingObserver()
        observer.allowed = False
        assert await observer.send(endpoint.port, "a") == [("a", AttemptOutcome(AttemptResult.NOT_ATTEMPTED))]
        assert endpoint.calls.empty() and observer.started == []
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


def test_health_checks():
    async def run():
        endpoint = await Endpoint(answer(200), answer(503), "reset").start()
        observer = RecordingObserver()
        observer.client.set_address(1, ("127.0.0.1", endpoint.port))
        for expected in (AttemptResult.OK, AttemptResult.REJECTED, AttemptResult.RESET):
            observer.client.check_health(1)
            assert await bounded(observer.health.get()) is expected
        assert (await endpoint.call())[0] == "/alive"
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())


def test_a_close_that_the_event_loop_has_not_processed_is_detected_before_reuse():
    # The endpoint closes the connection just before the next call, which would be reset on it.
    async def run():
        listener = socket.create_server(("127.0.0.1", 0))
        close_requested, closed = threading.Event(), threading.Event()

        def serve():
            for _ in range(2):
                peer, _ = listener.accept()
                peer.recv(65536)
                peer.sendall(answer(200))
                close_requested.wait(10)
                peer.close()
                closed.set()

        thread = threading.Thread(target=serve)
        thread.start()
        observer = RecordingObserver()
        port = listener.getsockname()[1]
        await observer.send(port, "a")
        close_requested.set()
        closed.wait(10)  # blocks the event loop, which cannot process the close
        assert (await observer.send(port, "b"))[0][1].result is AttemptResult.OK
        assert observer.client.calls_on_new_connections == 2
        observer.client.close()
        thread.join()
        listener.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("text", "values"),
    [
        ("x0=0.4,x1=25", [{"x0": 0.4, "x1": 25.0}]),
        ("x0=0.4, x1=1e2,", [{"x0": 0.4, "x1": 100.0}]),
        ("x0=,x1=3", []),
        ("x0=nan,x1=3", []),
        ("x1=inf", []),
        ("x1", []),
        ("", []),
    ],
)
def test_a_load_report_is_forwarded_if_it_is_well_formed(text, values):
    async def run():
        endpoint = await Endpoint(answer(200, X_Server_Load=text)).start()
        observer = RecordingObserver()
        assert await observer.send(endpoint.port, "a") == [
            ("a", AttemptOutcome(AttemptResult.OK, message_ended=True))
        ]
        assert observer.load_reports == values
        observer.client.close()
        await endpoint.stop()

    asyncio.run(run())
