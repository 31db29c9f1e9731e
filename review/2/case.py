"""A client sends 40 messages at once on its connection; each of them has to be answered."""

import asyncio
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import rig as r

COUNT = 40
ANSWER_S = 0.4  # the client waits so long for an answer
TCP_CLOSE_WAIT = 8  # the peer has ended the connection, and no reset came


async def send_at_once(rig, commands):
    """Send the commands in one write; return the answers, and how the connection ended if it did."""
    loop, sock = asyncio.get_running_loop(), socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, rig.listen)
    await loop.sock_sendall(sock, b"".join(commands))
    rig.record(f"client sent {len(commands)} messages at once, {len(b''.join(commands))} bytes")
    received, ended = b"", ""
    try:
        while received.count(b"\r\n") < len(commands):
            data = await asyncio.wait_for(loop.sock_recv(sock, 1 << 16), ANSWER_S)
            if not data:
                await asyncio.sleep(0.1)  # a reset would have come by now
                state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)[0]
                # A socket that is closed with bytes unread resets the connection.
                ended = "ended, all read" if state == TCP_CLOSE_WAIT else "ended with bytes unread"
                break
            received += data
    except TimeoutError:
        ended = ""
    except ConnectionError:
        ended = "ended with bytes unread"
    sock.close()
    return received.decode().split("\r\n")[:-1], ended


async def play(rig):
    await rig.endpoint("e1", dest=1)
    await rig.endpoint("e2", dest=1)
    await rig.start()
    ids = [f"{number:016x}" for number in range(1, COUNT + 1)]
    commands = [r.put_command(message_id, "status-update", 1, 6000) for message_id in ids]
    # Without the trouble the same messages are handed in one after another, each after its answer.
    groups = [commands] if r.TROUBLE else [[command] for command in commands]
    answers, broken = [], []
    for group in groups:
        lines, ended = await send_at_once(rig, group)
        answers += lines
        rig.record(f"connection {ended or 'open'}, {len(lines)} answers to {len(group)} messages")
        if ended == "ended with bytes unread":
            # The client may send what was not read once more on a new connection; not the subject here.
            raise r.CannotRunError("the connection was reset")
        if ended:
            broken += [
                f"{message_id}: its request was read, and its connection ended with no answer"
                for message_id in ids[len(answers) :]
            ]
    for message_id, answer in zip(ids, answers, strict=False):
        rig.record(f"client {message_id} answered {answer}")
    await asyncio.sleep(1)
    return broken


r.main(play, pathlib.Path(__file__).parent)
