"""A client that has left: what it sent is not delivered, and what it submits again is not sent twice."""

import asyncio
import socket
import struct

import pytest
from hot_restart_pair import with_process_pair
from loopback import Client, bounded, until, with_fleet

from message_relay.server.journal import Journal
from message_relay.server.resp import connection
from message_relay.server.resp.reply_handle import ReplyHandle

COUNT = 100
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def allow_all_messages(fleet):
    fleet.raw_settings["policyLimits"]["maxOpen"] = 2 * COUNT
    fleet.raw_settings["weightSource"] = "silent"  # no rate limit


def send_and_leave(port, data, *, reset):
    """Send the data on a new connection and close it before the relay has read anything."""
    sock = socket.create_connection(("127.0.0.1", port))
    sock.sendall(data)
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


async def called_ids(endpoint, count):
    return [(await endpoint.call())[1]["x-request-id"] for _ in range(count)]


# Guards against requests that were unread when their client left, and are sent on afterwards.
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("count", [1, COUNT])
def test_requests_that_are_unread_when_their_client_leaves_are_not_sent_on(tmp_path, reset, count):
    @with_fleet
    async def run(fleet):
        endpoint = await fleet.endpoint("a", rate=0.0)
        allow_all_messages(fleet)
        client = await fleet.start_relay()
        ids = [f"m{number}" for number in range(count)]
        data = b"".join(Client.message(message_id, message_class="unsafe") for message_id in ids)
        send_and_leave(fleet.relay_port(), data, reset=reset)
        await until(lambda: fleet.relay.clients.close_counts)
        await asyncio.sleep(0.05)
        assert endpoint.calls.empty() and not fleet.relay.journal.messages
        # Nothing was promised: the same messages may come again, and each of them is sent once.
        assert await client.put("m0", message_class="unsafe") == "+OK"
        assert await called_ids(endpoint, 1) == ["m0"]
        await until(lambda: not fleet.relay.journal.messages)
        fleet.relay.close()
        journal = Journal(fleet.folder / "state", 1_000_000).acquire()
        assert not journal.messages and list(journal.completed_ids.entries) == ["m0"]
        journal.close()

    run(tmp_path)


# Guards against a request of a client that has left, accepted because its reset comes a moment later.
@with_fleet
async def test_a_message_is_not_sent_on_when_the_reset_comes_late(fleet):
    await fleet.endpoint("a")
    fleet.discovery.targets["a"]["state"] = "terminating"  # the message waits
    client = await fleet.start_relay()  # kept, so that its connection is not the one that is closed
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection, "was_reset", lambda sock: False)
        send_and_leave(fleet.relay_port(), Client.message("m", message_class="unsafe"), reset=False)
        await until(lambda: fleet.relay.clients.close_counts)
    client.writer.transport.abort()
    await asyncio.sleep(0.2)
    assert not fleet.relay.journal.messages


# Guards against an id that is forgotten after its message's own short deadline and then takes effect again.
@with_fleet
async def test_an_id_that_comes_again_while_its_class_allows_it_is_not_sent_again(fleet):
    endpoint = await fleet.endpoint("a")
    client = await fleet.start_relay()
    assert await client.put("u", message_class="unsafe", lifetime_ms=300) == "+OK"
    await called_ids(endpoint, 1)
    await asyncio.sleep(3.5)
    later_client = await Client().open(fleet.relay_port())
    assert await later_client.put("other") == "+OK"  # the journal expires ids when it writes
    await called_ids(endpoint, 1)
    assert await later_client.put("u", message_class="unsafe", lifetime_ms=300) == "+OK"
    await asyncio.sleep(0.1)
    assert endpoint.calls.empty()


# Guards against a refusal, which promises that nothing ran, of an id that the other process accepted.
@with_process_pair
async def test_an_id_that_comes_again_at_either_process_of_an_upgrade_is_sent_once(fleet, start):
    endpoint = await fleet.endpoint("a")
    client, pair = await start()
    assert await client.put("u", message_class="unsafe") == "+OK"
    assert await called_ids(endpoint, 1) == ["u"]
    old = fleet.relay
    await pair.hot_restart()
    assert await client.put("u", message_class="unsafe") == "+OK"
    submitted, submit = [], old.submissions.submit
    old.submissions._enqueue = lambda *arguments: submitted.append(arguments)
    reply = ReplyHandle(StubConnection())
    parsed = await captured_request(fleet, "u")
    submit(parsed, reply)
    assert reply.text == b"+OK\r\n" and not submitted
    await asyncio.sleep(0.1)
    assert endpoint.calls.empty()


class StubConnection:
    failed = False

    def flush(self):
        pass

    def check_connected(self):
        return True

    def client_stopped_sending(self):
        return False


async def captured_request(fleet, message_id):
    """Return the parsed request that submits the message, as a client connection passes it on."""
    requests, submit = [], fleet.relay.clients.submit
    fleet.relay.clients.submit = lambda request, reply: (requests.append(request), submit(request, reply))
    client = await Client().open(fleet.relay_port())
    await bounded(client.put(message_id, message_class="unsafe"))
    fleet.relay.clients.submit = submit
    return requests[0]
