"""Answers the simulator's requests. Each instance has a DeliveryPolicy; the policies share no state."""

from __future__ import annotations

from typing import BinaryIO

from message_relay.model import Event
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.simulator_adapter import frames


class Adapter:
    """The policies of all instances that the simulator has started in this process."""

    def __init__(self) -> None:
        self.policies: dict[int, DeliveryPolicy] = {}
        self.lists: frames.EndpointLists = {}

    def handle_request(self, header: frames.RequestHeader, body: bytes) -> bytes:
        """Run one tick of each instance that the request names, and return the reply frame."""
        events_by_instance: dict[int, list[Event]] = {}
        for instance, event in frames.read_events(body, header.record_count, self.lists):
            events = events_by_instance.setdefault(instance, [])
            if isinstance(event, frames.InstanceStarted):
                self.policies[instance] = DeliveryPolicy(event.settings, event.seed)
            elif isinstance(event, frames.InstanceStopped):
                self.policies.pop(instance, None)
                events.clear()
            else:
                events.append(event)
        reply = frames.ReplyFrame()
        for instance, events in events_by_instance.items():
            if instance in self.policies:
                self._run_tick(reply, instance, header.now_us, events)
        return reply.pack(header.sequence)

    def _run_tick(self, reply: frames.ReplyFrame, instance: int, now_us: int, events: list[Event]) -> None:
        try:
            actions = self.policies[instance].handle(now_us, events)
        except Exception as error:  # reported to the simulator, which shows the text
            reply.add_instance(instance)
            reply.add_policy_error(f"{type(error).__name__}: {error}")
            return
        if actions:
            reply.add_instance(instance)
            for action in actions:
                reply.add_action(action)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer requests until the input ends. Raises ValueError if a frame or its settings are malformed."""
    adapter = Adapter()
    while data := source.read(frames.REQUEST_HEADER.size):
        header = frames.read_request_header(data)
        body = source.read(header.body_size)
        if len(body) != header.body_size:
            raise frames.MalformedFrameError(
                f"truncated request body: {len(body)} of {header.body_size} bytes"
            )
        sink.write(adapter.handle_request(header, body))
        sink.flush()
