"""The console and the log tell which resources clients use, and why connections and messages ended."""

import logging

from loopback import Client, bounded, until, with_fleet

from message_relay.server.log_output import RateLimitedFilter
from message_relay.server.resp import connection


# Guards against a process that reaches a limit with nothing in its metrics that tells what used it.
@with_fleet
async def test_the_metrics_tell_what_clients_hold_and_why_they_were_closed_or_refused(fleet):
    fleet.raw_settings["policyLimits"]["maxOpen"] = 1
    await fleet.endpoint("a", "hang")
    client = await fleet.start_relay()
    assert await client.put("m1", body=b"x" * 500) == "+OK"
    assert (await client.put("m2")).startswith("-BUSY")
    client.writer.write(client.message("m3", body=b"x" * 5000)[:4000])
    invalid = await Client().open(fleet.relay_port())
    invalid.writer.write(Client.command(b"NOPE") * connection.MAX_INVALID_REQUESTS)
    await bounded(invalid.reader.read())
    await until(lambda: fleet.relay.clients.close_counts)
    metrics = await fleet.metrics()
    assert metrics["app_client_connections"] == 1 and metrics["app_resident_bytes"] > 1_000_000
    assert metrics["app_client_buffer_bytes"] >= 3900 and metrics["app_message_bytes"] >= 500
    assert metrics['app_client_connections_closed_total{reason="invalid_requests"}'] == 1
    assert metrics['app_refused_total{reason="open_messages"}'] == 1


@with_fleet
async def test_a_failed_attempt_and_the_end_of_a_message_are_logged_with_its_id(fleet):
    await fleet.endpoint("a", "reset")
    client = await fleet.start_process()
    assert await client.put("u1", message_class="unsafe") == "+OK"
    assert (await fleet.discovery.final())["id"] == "u1"
    await fleet.kill()
    log = (await bounded(fleet.process.stderr.read())).decode()
    assert "attempt failed: message=u1 attempt=0 endpoint=a result=reset" in log
    assert "message ended: message=u1 status=undeliverable attempts=1" in log


def test_frequent_lines_of_one_module_do_not_displace_those_of_others():
    line_filter = RateLimitedFilter(lines_per_s=30, lines_per_s_and_module=20)

    def written(module, count):
        records = [logging.LogRecord(module, logging.INFO, "", 0, "x", (), None) for _ in range(count)]
        return sum(map(line_filter.filter, records))

    frequent, rare = written("frequent", 500), written("rare", 5)
    assert frequent in (20, 40) and rare == 5  # 40 if a second ended in between
