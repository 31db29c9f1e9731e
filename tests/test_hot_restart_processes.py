"""Hot restarts with real processes, sockets and file locks.

Guards against two processes that own the journal at once, rejected clients during a handover, and starts that
fail where the platform does not permit Unix sockets or file locks.
"""

import asyncio
import contextlib
import errno
import fcntl
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from loopback import ROOT, Client, bounded, with_fleet, free_port, settings

from message_relay.server.hot_restart import channel, new_process, old_process
from message_relay.server.journal import Journal, JournalLockedError


def test_one_process_owns_the_journal_and_changes_by_another_are_detected(tmp_path):
    first = Journal(tmp_path, 1_000_000).acquire()
    first.record_cordon("a", True)
    second = Journal(tmp_path, 1_000_000)
    with pytest.raises(JournalLockedError):
        second.acquire()
    first.close()
    first.reacquire()  # no other process has acquired it since
    first.record_cordon("b", True)
    first.close()
    second.acquire()
    assert list(second.cordoned) == ["a", "b"]
    second.record_cordon("c", True)
    second.close()
    with pytest.raises(JournalLockedError):
        first.reacquire()
    third = Journal(tmp_path, 1_000_000).acquire()  # the failed reacquire() released the lock
    assert list(third.cordoned) == ["a", "b", "c"]
    third.close()


@with_fleet
async def test_a_stale_socket_is_replaced_and_a_long_path_works(fleet):
    await fleet.start_relay()
    loop = asyncio.get_running_loop()
    directory = fleet.folder / ("d" * 60) / ("e" * 60)
    directory.mkdir(parents=True)
    path = directory / "hand.sock"
    stale_socket = socket.socket(socket.AF_UNIX)
    with channel.short_socket_name(path) as name:
        assert len(name) < 100 < len(str(path))
        stale_socket.bind(name)
    stale_socket.close()  # the file stays, as after SIGKILL
    requester = new_process.HotRestartRequester(loop, path, print, print)
    assert not await bounded(requester.request_handover())
    listener = old_process.HotRestartListener(loop, fleet.relay.transfer, path)
    listener.listen()
    second_requester = new_process.HotRestartRequester(loop, path, print, print)
    assert await bounded(second_requester.request_handover())
    second_requester.close()
    listener.close()
    assert not path.exists()
    (directory / "file").write_text("content")
    second_listener = old_process.HotRestartListener(loop, fleet.relay.transfer, directory / "file")
    second_listener.listen()  # not a socket: neither replaced nor a reason to exit
    assert second_listener.sock is None and (directory / "file").read_text() == "content"


@pytest.mark.parametrize("socket_error_number", [errno.EPERM, errno.ENOSYS, errno.EMFILE, errno.EAFNOSUPPORT])
def test_without_unix_sockets_the_relay_serves_without_hot_restarts(
    tmp_path, monkeypatch, caplog, socket_error_number
):
    create_socket = socket.socket

    def reject(family=-1, *arguments, **options):
        if family == socket.AF_UNIX:
            raise OSError(socket_error_number, "refused")
        return create_socket(family, *arguments, **options)

    @with_fleet
    async def serve(fleet):
        endpoint = await fleet.endpoint("a")
        client = await fleet.start_relay()
        monkeypatch.setattr(channel.socket, "socket", reject)
        loop = asyncio.get_running_loop()
        listener = old_process.HotRestartListener(loop, fleet.relay.transfer, tmp_path / "hand.sock")
        listener.listen()
        assert listener.sock is None
        assert not await bounded(
            new_process.HotRestartRequester(loop, tmp_path / "hand.sock", print, print).request_handover()
        )
        assert await client.put("m") == "+OK" and (await endpoint.call())[1]["x-request-id"] == "m"
        listener.close()

    with caplog.at_level("INFO"):
        serve(tmp_path)
    # One line of the listener, one of the requester.
    assert sum("refused" in r.getMessage() for r in caplog.records) == 2


@pytest.mark.parametrize("error_number", [errno.ENOSYS, errno.ENOLCK, errno.EOPNOTSUPP])
def test_without_file_locks_the_journal_is_used_unlocked(tmp_path, monkeypatch, caplog, error_number):
    def reject(fd, how):
        raise OSError(error_number, "refused")

    monkeypatch.setattr(fcntl, "flock", reject)
    journal = Journal(tmp_path, 1_000_000, 5.0)
    journal.acquire()
    assert journal.messages == {} and "file locks not supported, hot restart disabled" in caplog.text
    journal.close()


def test_other_lock_errors_are_raised(tmp_path, monkeypatch):
    def fail(fd, how):
        raise OSError(errno.EIO, "broken disk")

    monkeypatch.setattr(fcntl, "flock", fail)
    with pytest.raises(OSError, match="broken disk"):
        Journal(tmp_path, 1_000_000, 5.0).acquire()


def test_instances_that_share_a_directory_use_different_sockets(tmp_path):
    (tmp_path / "a").mkdir()
    paths = {channel.socket_path({"TMPDIR": "/t"}, tmp_path / name) for name in ("a", "b")}
    assert len(paths) == 2 and all(p.parent.name == "t" for p in paths)


def start_process(fleet, listener, port):
    """Start a relay that inherits the listening socket and serves the admin console on the port."""
    env = {
        **os.environ,
        **fleet.write_configuration(),
        "LB_FD": str(listener.fileno()),
        "TMPDIR": str(fleet.folder),
        "LB_CONSOLE": f"127.0.0.1:{port}",
    }
    return asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "message_relay",
        env=env,
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
        pass_fds=[listener.fileno()],
    )


async def wait_until_healthy(fleet, port):
    while True:
        with contextlib.suppress(OSError):
            if await fleet.run_command("health", port) == "ACK\n":
                return
        await asyncio.sleep(0.01)


@with_fleet
async def test_a_hot_restart_under_traffic_rejects_no_client(fleet):
    endpoint = await fleet.endpoint("e")
    with socket.create_server(("127.0.0.1", 0), backlog=100) as listener:
        ports = [free_port(), free_port()]
        old = await start_process(fleet, listener, ports[0])
        await bounded(wait_until_healthy(fleet, ports[0]))
        new = None
        try:
            lasting_client = await Client().open(listener.getsockname()[1])
            stop, sent = asyncio.Event(), []

            async def traffic():
                while not stop.is_set():
                    short_client = await Client().open(listener.getsockname()[1])
                    for client in (lasting_client, short_client):
                        sent.append(f"m{len(sent)}")
                        assert await client.put(sent[-1]) == "+OK"
                    short_client.writer.close()

            running = asyncio.ensure_future(traffic())
            new = await start_process(fleet, listener, ports[1])
            await bounded(wait_until_healthy(fleet, ports[1]))
            assert await bounded(old.wait()) == 0  # it exits when no call is in flight
            count = len(sent)
            while len(sent) < count + 5:
                await asyncio.sleep(0.01)
            stop.set()
            await bounded(running)
            delivered_ids = {(await endpoint.call())[1]["x-request-id"] for _ in sent}
            assert delivered_ids == set(sent)
            new.send_signal(signal.SIGKILL)
            await new.wait()
            # The killed process left its socket file: the next one starts from the journal.
            new = await start_process(fleet, listener, ports[1])
            await bounded(wait_until_healthy(fleet, ports[1]))
        finally:
            for process in (old, new):
                if process and process.returncode is None:
                    process.kill()
                    await process.wait()


@with_fleet
async def test_sigterm_ends_a_new_process_that_waits_for_the_journal(fleet):
    journal = Journal(fleet.folder / "state", 3_000_000).acquire()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = free_port()
        process = await start_process(fleet, listener, port)
        health = ""
        while not health:
            with contextlib.suppress(OSError):
                health = await fleet.run_command("health", port)
            await asyncio.sleep(0.01)
        assert health == "NAK starting\n"
        process.send_signal(signal.SIGTERM)
        assert await bounded(process.wait()) == 0
    journal.close()


@pytest.mark.parametrize("case", ["not a number", "closed", "file", "not listening", "unix", "negative"])
def test_an_invalid_descriptor_is_reported_in_one_line(tmp_path, case):
    configuration = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings()}
    (tmp_path / "config.json").write_text(json.dumps(configuration))
    sock = socket.socket(socket.AF_UNIX if case == "unix" else socket.AF_INET)
    if case == "unix":
        sock.bind(str(tmp_path / "u.sock"))
        sock.listen()
    with open(tmp_path / "config.json") as file, sock:
        fd = file.fileno() if case == "file" else sock.fileno()
        descriptor_text = {"not a number": "seven", "closed": "99", "negative": "-3"}.get(case, str(fd))
        env = {
            **os.environ,
            "LB_CONFIG": str(tmp_path / "config.json"),
            "LB_STATE": str(tmp_path),
            "LB_FD": descriptor_text,
        }
        completed = subprocess.run(
            [sys.executable, "-m", "message_relay"],
            env=env,
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            pass_fds=[fd],
        )
    assert completed.returncode == 2 and completed.stderr.startswith("message-relay: LB_FD: ")
    assert completed.stderr.count("\n") == 1
