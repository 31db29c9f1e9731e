"""Answers the simulator's batches: one DeliveryPolicy for each instance, with nothing shared between them."""

from __future__ import annotations

from typing import BinaryIO

from message_relay.model import Event
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.simulator_adapter import frames


class Adapter:
    """The policies of all instances that this process hosts."""

    def __init__(self) -> None:
        self.policies: dict[int, DeliveryPolicy] = {}
        self.lists: frames.EndpointLists = {}

    def reply(self, header: frames.BatchHeader, body: bytes) -> bytes:
        """The reply to one batch."""
        inbox: dict[int, list[Event]] = {}
        for instance, event in frames.read_events(body, header.record_count, self.lists):
            events = inbox.setdefault(instance, [])
            if isinstance(event, frames.InstanceStarted):
                self.policies[instance] = DeliveryPolicy(event.settings, event.seed)
            elif isinstance(event, frames.InstanceStopped):
                self.policies.pop(instance, None)
                events.clear()
            else:
                events.append(event)
        reply = frames.ReplyFrame()
        for instance, events in inbox.items():
            if instance in self.policies:
                self._run_tick(reply, instance, header.now_us, events)
        return reply.pack(header.sequence)

    def _run_tick(self, reply: frames.ReplyFrame, instance: int, now_us: int, events: list[Event]) -> None:
        try:
            actions = self.policies[instance].handle(now_us, events)
        except Exception as error:  # the simulator shows the text, whatever went wrong
            reply.add_instance(instance)
            reply.add_fault(f"{type(error).__name__}: {error}")
            return
        if actions:
            reply.add_instance(instance)
            for action in actions:
                reply.add_action(action)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends. ValueError for a malformed frame or settings."""
    adapter = Adapter()
    while data := source.read(frames.BATCH_HEADER.size):
        header = frames.read_header(data)
        body = source.read(header.body_size)
        if len(body) != header.body_size:
            raise frames.MalformedFrameError(f"truncated batch: {len(body)} of {header.body_size} bytes")
        sink.write(adapter.reply(header, body))
        sink.flush()
