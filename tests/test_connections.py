"""Faults of a connection that must not count as faults of its endpoint."""

import asyncio
import socket
import struct

from loopback import Endpoint, answer, read_request, until, with_fleet


class SlowFirstRequestEndpoint(Endpoint):
    """Endpoint that answers the first request on a connection late, as after a TLS handshake."""

    async def serve(self, reader, writer):
        self.accepted += 1
        await asyncio.sleep(0)
        first = True
        while True:
            _, path, headers, body = (None, *(await read_request(reader))[1:])
            self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
            await asyncio.sleep(0.3 if first else 0.01)
            first = False
            writer.write(answer(200))


class LimitedConnectionsEndpoint(Endpoint):
    """Endpoint that answers 503 on connections over its limit and closes them."""

    async def serve(self, reader, writer):
        self.accepted += 1
        limit_reached = len(self.writers) > 2
        while True:
            _, path, headers, body = await read_request(reader)
            self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
            if limit_reached:
                writer.write(answer(503, Connection="close"))
                return
            await asyncio.sleep(0.05)
            writer.write(answer(200))


class ResettingEndpoint(Endpoint):
    """Endpoint that resets each connection at its second request."""

    async def serve(self, reader, writer):
        self.accepted += 1
        _, path, headers, body = await read_request(reader)
        self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
        writer.write(answer(200))
        await reader.readexactly(1)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def add_endpoint(fleet, endpoint):
    """Start the endpoint, add it to the endpoint list as "a" and return it."""
    fleet.endpoints["a"] = await endpoint.start()
    fleet.discovery.add_target("a", endpoint.port, 7)
    return endpoint


async def wait_until_all_completed(fleet):
    await until(lambda: not fleet.relay.journal.messages)


@with_fleet
async def test_the_first_call_on_a_new_connection_has_a_longer_time_out(fleet):
    # The time-out derived from calls on reused connections is too short for it. With that time-out, each call
    # on a new connection closes the connection, so that the next call needs a new one, too, until the circuit
    # breaker of the endpoint opens.
    endpoint = await add_endpoint(fleet, SlowFirstRequestEndpoint())
    client = await fleet.start_relay()
    for number in range(60):
        await client.put(f"m{number}")
        await wait_until_all_completed(fleet)
    assert endpoint.accepted == 1 and endpoint.calls.qsize() == 60
    client.writer.write(b"".join(client.message(f"n{number}") for number in range(4)))
    assert [await client.line() for _ in range(4)] == ["+OK"] * 4
    await wait_until_all_completed(fleet)
    assert endpoint.accepted > 1 and endpoint.calls.qsize() == 64  # one attempt each
    assert fleet.discovery.finals.empty()


@with_fleet
async def test_a_reached_connection_limit_is_a_failed_connection_not_overload(fleet):
    endpoint = await add_endpoint(fleet, LimitedConnectionsEndpoint())
    client = await fleet.start_relay()
    for number in range(8):
        await client.put(f"m{number}")
        await wait_until_all_completed(fleet)
    for burst in range(6):
        client.writer.write(b"".join(client.message(f"b{burst}-{number}") for number in range(6)))
        assert [await client.line() for _ in range(6)] == ["+OK"] * 6
        await wait_until_all_completed(fleet)
    assert fleet.discovery.finals.empty()  # none was rejected: connections within the limit are reused
    assert endpoint.calls.qsize() < 44 + 12  # the policy stops exceeding the limit


@with_fleet
async def test_non_idempotent_messages_use_new_connections_if_reused_ones_are_reset(fleet):
    # A non-idempotent message in flight on a connection that is reset may have been applied, so it cannot be
    # attempted again.
    await add_endpoint(fleet, ResettingEndpoint())
    client = await fleet.start_relay()
    for number in range(6):
        await client.put(f"s{number}")
        await wait_until_all_completed(fleet)
    assert fleet.relay.policy.state.statistics.reset_rates.reused > 0.08
    for number in range(8):
        await client.put(f"u{number}", message_class="unsafe")
        await wait_until_all_completed(fleet)
    assert fleet.discovery.finals.empty()
    circuits = [state.circuit for state in fleet.relay.policy.state.endpoints.values()]
    # The endpoint responds, so its circuit breaker stays closed, without a slow start.
    assert all(not circuit.open and circuit.slow_start_since_us < 0 for circuit in circuits)
