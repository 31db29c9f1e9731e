"""Decoding of request frames and encoding of reply frames, byte for byte, and errors for malformed frames.

The frames are packed here field by field, independently of the code under test.
"""

import json
import os
import struct
import subprocess
import sys

import pytest

from message_relay import model
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.simulator_adapter import frames as wire
from message_relay.simulator_adapter.loop import Adapter
from message_relay.simulator_adapter.settings_json import read_settings

SETTINGS = {
    "classes": [
        {"name": "a", "goalTimeUs": 1000000, "deadlineUs": 6000000, "idempotency": "read_like", "worth": 2.0},
        {"name": "b", "goalTimeUs": 2000000, "deadlineUs": 9000000, "idempotency": "non_idempotent"},
    ],
    "contract": {
        "coldShare": 0.2,
        "coldUs": 9000000,
        "drainGraceUs": 500000,
        "fallMultiple": 2.5,
        "fallUs": 2000000,
    },
    "familyInfo": {"maxCalls": 6, "kindApart": [True], "kindBatch": [3]},
    "policyLimits": {
        "attemptsCap": 9,
        "connIdleUs": 1,
        "connectTimeoutUs": 2,
        "maxOpen": 50,
        "retryAfter": True,
        "maxRetryAfterUs": 7,
    },
    "shapes": ["k"],
    "weightSource": "nominal",
    "somethingNew": {"x": 1},
}
ADDRESS = 0x0A124A07


def event_record(fields, *values):
    """Return a record of 40 bytes; `fields` is the struct format of the values."""
    return struct.pack(">" + fields, *values).ljust(40, b"\0")


def request_frame(records, tail=b"", seq=1, now=5_000_000, count=None):
    body = b"".join(records) + tail
    return struct.pack(">IIQI", seq, len(body), now, len(records) if count is None else count) + body


def start_request(seq=1, now=5_000_000, instances=(3,), settings=None):
    text = json.dumps(SETTINGS if settings is None else settings).encode()
    entry = struct.pack(">IHHBfQBH", ADDRESS, 9003, 57, 1, 4.0, 0, 0, 0)
    records = [event_record("BBII", 6, 2, 0, 1)]
    for number in instances:
        records += [
            event_record("BH", 1, number),
            event_record("BQII", 7, 77 + number, len(entry), len(text)),
            event_record("BBQB", 5, 2, 1, 2),
        ]
    return request_frame(records, entry + text, seq, now)


def submission_request(message, seq, now, instance=3, message_class=0):
    return request_frame(
        [
            event_record("BH", 1, instance),
            event_record("BIBIQQIfH", 2, message, message_class, 0, 0, now + 6_000_000, 0, 57.0, 2),
        ],
        seq=seq,
        now=now,
    )


def run_adapter(data, **env):
    return subprocess.run(
        [sys.executable, "-m", "message_relay.simulator_adapter"],
        input=data,
        capture_output=True,
        env={**os.environ, **env},
        timeout=60,
    )


def decoded_events(data):
    header = wire.read_request_header(data[:20])
    return list(wire.read_events(data[20:], header.record_count, {}))


def test_settings_are_read_and_unknown_keys_ignored():
    settings = read_settings(json.dumps(SETTINGS))
    assert (
        settings.call_slots == 6
        and settings.destination_types == (model.DestinationType("k", True, 3),)
        and settings.classes[1].idempotency is model.Idempotency.NON_IDEMPOTENT
    )
    assert (
        settings.max_retry_after_us == 7 and settings.rate_limits_advertised and not settings.hedging_allowed
    )


def test_instance_start_list_and_submission():
    received = decoded_events(start_request())
    assert received[0][0] == 3 and received[0][1].seed == 80
    assert received[1][1] == model.EndpointListReceived(
        model.EndpointListForm.CACHED,
        (model.EndpointEntry(wire.endpoint_id(ADDRESS, 9003), 57, model.EndpointState.READY, 4.0, 0, 0),),
    )
    assert decoded_events(submission_request(9, 2, 10))[0][1] == model.MessageSubmitted(
        9, 0, 57, 6_000_010, 0, 0, True
    )


def test_list_number_refers_to_the_list_registered_last():
    entry = struct.pack(">IHHBfQBH", ADDRESS, 1, 1, 1, 0, 0, 0, 0)
    other = struct.pack(">IHHBfQBH", ADDRESS, 2, 1, 0, 0, 0, 0, 0)
    received = decoded_events(
        request_frame(
            [
                event_record("BH", 1, 0),
                event_record("BBII", 6, 4, 0, 1),
                event_record("BBQB", 5, 4, 1, 0),
                event_record("BBII", 6, 4, 24, 1),
                event_record("BBQB", 5, 4, 2, 1),
            ],
            entry + other,
        )
    )
    assert [e.entries[0].endpoint & 0xFFFF for _, e in received] == [1, 2]
    assert received[1][1].entries[0].state is model.EndpointState.REMOVED


def test_outcomes_health_checks_gossip_and_other_events_are_decoded():
    received = [
        e
        for _, e in decoded_events(
            request_frame(
                [
                    event_record("BH", 1, 3),
                    event_record("BIBIHHIBI", 8, 5, 1, ADDRESS, 9003, 429, 18, 0, 250),
                    event_record("BIHIH", 3, 1400, 200, ADDRESS, 9003),
                    event_record("BIII", 11, 2, 0, 4),
                    event_record("BI", 10, 5),
                    event_record("BQ", 4, 77),
                    event_record("BIIHBI", 12, 5, ADDRESS, 9003, 1, 9),
                    event_record("BBQB", 5, 0, 3, 3),
                ],
                b"hi 7",
            )
        )
    ]
    endpoint = wire.endpoint_id(ADDRESS, 9003)
    assert received == [
        model.AttemptEnded(5, 1, endpoint, model.AttemptResult.REJECTED, 18, False, 250_000),
        model.HealthCheckEnded(endpoint, model.AttemptResult.OK, 1400),
        model.GossipReceived(2, b"hi 7"),
        model.MessageWithdrawn(5),
        model.TimerFired(77),
        model.ResponseStarted(5, 1, endpoint),
        model.EndpointListReceived(model.EndpointListForm.FAILED),
    ]


def test_response_with_a_load_report_is_two_events():
    settings = {**SETTINGS, "report": {"fields": ["x0", "x1"], "how": "piggyback"}}
    assert read_settings(json.dumps(settings)).load_report_fields == ("x0", "x1")
    received = [
        e
        for _, e in decoded_events(
            request_frame(
                [
                    event_record("BH", 1, 3),
                    event_record("BIBIHHIBIB4f", 8, 5, 1, ADDRESS, 9003, 200, 18, 1, 0, 2, 0.5, 25, 0, 0),
                ]
            )
        )
    ]
    endpoint = wire.endpoint_id(ADDRESS, 9003)
    assert received == [
        model.AttemptEnded(5, 1, endpoint, model.AttemptResult.OK, 18, True),
        model.LoadReportReceived(endpoint, (0.5, 25.0)),
    ]


def test_reply_frame_is_packed_byte_for_byte():
    reply = wire.ReplyFrame()
    reply.add_instance(3)
    reply.add_action(model.SendAttempt(0x5D3A91C4, wire.endpoint_id(ADDRESS, 9003), 80_000))
    reply.add_action(model.SetTimer(500_000, 77))
    reply.add_instance(5)
    reply.add_action(model.LogMessage("two servers known"))
    assert reply.pack(12).hex() == (
        "0000000c"
        "00000005"
        "00000061"
        "0d0003" + "00" * 13 + "015d3a91c40a124a07232b0001388000"
        "050007a120000000000000004d000000"
        "0d0005" + "00" * 13 + "09000000000000001100000000000000" + b"two servers known".hex()
    )


@pytest.mark.parametrize(
    "action, code",
    [
        (model.RejectMessage(1, 2), 2),
        (model.FailMessage(1), 3),
        (model.CancelAttempt(1, 0), 4),
        (model.CheckEndpointHealth(1), 6),
        (model.CloseIdleConnections(1), 7),
        (model.SendGossip(None, b"x"), 8),
        (model.SubscribeEndpointList(), 11),
        (model.FetchEndpointList(), 12),
    ],
)
def test_action_record_begins_with_its_code(action, code):
    reply = wire.ReplyFrame()
    reply.add_action(action)
    assert len(reply.records[0]) == 16 and reply.records[0][0] == code


SETTINGS_WITHOUT_CONTRACT = {k: v for k, v in SETTINGS.items() if k != "contract"}


@pytest.mark.parametrize(
    "data, expected_error",
    [
        (b"\0\0\0\1", "truncated request header"),
        (struct.pack(">IIQI", 1, 80, 0, 0) + b"x", "truncated request body"),
        (request_frame([event_record("BH", 1, 0), event_record("B", 99)]), "unknown event code 99"),
        (request_frame([event_record("BH", 1, 0), event_record("BIII", 11, 2, 5, 90)]), "outside the tail"),
        (request_frame([event_record("BQ", 4, 1)]), "before any instance"),
        (request_frame([], count=3), "do not fit"),
        (request_frame([event_record("BH", 1, 0), event_record("BQII", 7, 1, 0, 3)], b"{{{"), "not JSON"),
        (start_request(settings=SETTINGS_WITHOUT_CONTRACT), "'contract'"),
        (
            request_frame([event_record("BH", 1, 0), event_record("BIBIHHIBI", 8, 5, 1, 1, 1, 777, 1, 0, 0)]),
            "unknown result 777",
        ),
    ],
)
def test_malformed_input_is_reported_in_one_line(data, expected_error):
    process = run_adapter(data)
    assert process.returncode != 0 and expected_error in process.stderr.decode()
    assert process.stderr.count(b"\n") == 1


def test_exception_in_the_policy_is_reported_in_the_reply(monkeypatch):
    monkeypatch.setattr(DeliveryPolicy, "handle", lambda *a: 1 / 0)
    data = start_request()
    reply = Adapter().handle_request(wire.read_request_header(data[:20]), data[20:])
    assert reply[12 + 16] == 10 and b"ZeroDivisionError" in reply


def test_output_depends_neither_on_hash_seed_nor_on_other_instances():
    def requests_of(instances):
        data = start_request(instances=instances)
        for message in range(2, 40):
            for number in instances:
                data += submission_request(
                    message, message * 10 + number, 5_000_000 + message * 500_000, number, message % 2
                )
        return data

    combined = run_adapter(requests_of((3, 4)), PYTHONHASHSEED="1")
    assert (
        combined.returncode == 0
        and combined.stdout == run_adapter(requests_of((3, 4)), PYTHONHASHSEED="2").stdout
    )

    def reply_bodies(output):
        """Return the body of each reply by its sequence number."""
        body_by_sequence = {}
        while output:
            seq, _, size = struct.unpack(">III", output[:12])
            body_by_sequence[seq], output = output[12 : 12 + size], output[12 + size :]
        return body_by_sequence

    combined_replies = reply_bodies(combined.stdout)
    assert len(combined_replies) == 1 + 2 * 38 and sum(map(len, combined_replies.values())) > 1500
    for number in (3, 4):
        separate = reply_bodies(run_adapter(requests_of((number,))).stdout)
        assert len(separate) == 39 and all(
            combined_replies[seq] == body for seq, body in separate.items() if seq > 1
        )


@pytest.mark.parametrize(
    "field, change",
    [
        ("call_slots", {"call_slots": 0}),
        ("slow_start_share", {"slow_start_share": 1.5}),
        ("slow_start_us", {"slow_start_us": -1}),
        ("classes", {"classes": ()}),
        ("max_attempts", {"max_attempts": 0}),
    ],
)
def test_invalid_settings_name_the_field(field, change):
    valid = {"classes": (model.MessageClass("a", 1, 2),), "call_slots": 1, "max_open_messages": 1}
    model.Settings(**valid)
    with pytest.raises(ValueError, match=field):
        model.Settings(**{**valid, **change})


def test_unknown_idempotency_is_named_in_the_error():
    settings = json.loads(json.dumps(SETTINGS))
    settings["classes"][0]["idempotency"] = "sometimes"
    with pytest.raises(ValueError, match="idempotency"):
        read_settings(json.dumps(settings))
