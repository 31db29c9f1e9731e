"""Faults of a connection are distinguished from faults of its endpoint."""

import asyncio
import socket
import struct

from loopback import Endpoint, answer, with_fleet, read_request


class SlowFirstRequestEndpoint(Endpoint):
    """The first request on a connection takes longer, as a TLS handshake would make it."""

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
    """Accepts a limited number of connections at once; on another it responds 503 and closes."""

    async def serve(self, reader, writer):
        self.accepted += 1
        full = len(self.writers) > 2
        while True:
            _, path, headers, body = await read_request(reader)
            self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
            if full:
                writer.write(answer(503, Connection="close"))
                return
            await asyncio.sleep(0.05)
            writer.write(answer(200))


class ResettingEndpoint(Endpoint):
    """Resets a reused connection at its next request."""

    async def serve(self, reader, writer):
        self.accepted += 1
        _, path, headers, body = await read_request(reader)
        self.calls.put_nowait((path, headers, body, asyncio.get_running_loop().time()))
        writer.write(answer(200))
        await reader.readexactly(1)
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def add_endpoint(fleet, endpoint):
    fleet.endpoints["a"] = await endpoint.start()
    fleet.discovery.target("a", endpoint.port, 7)
    return endpoint


async def all_completed(fleet):
    while fleet.relay.journal.messages:
        await asyncio.sleep(0.01)


@with_fleet
async def test_the_first_call_on_a_new_connection_has_time_to_establish_it(fleet):
    # The time-out learned on reused connections was too short for it: each call timed out, its connection was
    # closed and replaced by one that timed out, too, until the circuit of the endpoint opened.
    endpoint = await add_endpoint(fleet, SlowFirstRequestEndpoint())
    client = await fleet.start_relay()
    for number in range(60):
        await client.put(f"m{number}")
        await all_completed(fleet)
    assert endpoint.accepted == 1 and endpoint.calls.qsize() == 60
    client.writer.write(b"".join(client.message(f"n{number}") for number in range(4)))
    assert [await client.line() for _ in range(4)] == ["+OK"] * 4
    await all_completed(fleet)
    assert endpoint.accepted > 1 and endpoint.calls.qsize() == 64  # one attempt each
    assert fleet.discovery.finals.empty()


@with_fleet
async def test_a_reached_connection_limit_is_a_failed_connection_and_no_overload(fleet):
    endpoint = await add_endpoint(fleet, LimitedConnectionsEndpoint())
    client = await fleet.start_relay()
    for number in range(8):
        await client.put(f"m{number}")
        await all_completed(fleet)
    for burst in range(6):
        client.writer.write(b"".join(client.message(f"b{burst}-{number}") for number in range(6)))
        assert [await client.line() for _ in range(6)] == ["+OK"] * 6
        await all_completed(fleet)
    assert fleet.discovery.finals.empty()  # none was rejected: reused connections carry them in turn
    assert endpoint.calls.qsize() < 44 + 12  # and the limit is learned


@with_fleet
async def test_non_idempotent_messages_get_a_new_connection_where_reused_ones_are_reset(fleet):
    # One in flight on a reset connection may have been applied and cannot be attempted again.
    await add_endpoint(fleet, ResettingEndpoint())
    client = await fleet.start_relay()
    for number in range(6):
        await client.put(f"s{number}")
        await all_completed(fleet)
    assert fleet.relay.policy.state.statistics.reset_rates.reused > 0.08
    for number in range(8):
        await client.put(f"u{number}", kind="unsafe")
        await all_completed(fleet)
    assert fleet.discovery.finals.empty()
    circuits = [state.circuit for state in fleet.relay.policy.state.endpoints.values()]
    assert all(
        not circuit.open and circuit.slow_start_since_us < 0 for circuit in circuits
    )  # it responds: no outage, no slow start
