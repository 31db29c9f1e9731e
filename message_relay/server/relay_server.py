"""The turn: gathers events, lets the decision module act on them, carries its actions out in order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import os
import time
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

from message_relay import model as i
from message_relay.policy.delivery_policy import DeliveryPolicy
from message_relay.policy_snapshot import PolicySnapshot, capture
from message_relay.server.endpoint_calls import AttemptOutcome, CallAttempt, EndpointCallClient
from message_relay.server.resp.server import BadRequest, Client, ClientServer, Put, Reply
from message_relay.server.configuration import Address, Config, ConfigError, parse_address
from message_relay.server.admin_console import Refused
from message_relay.server.metrics import Counters
from message_relay.server.discovery.endpoint_watch import Notices, Watch
from message_relay.server.journal.journal import Held, Journal

STATES = {
    "in_service": i.EndpointState.READY,
    "terminating": i.EndpointState.DRAINING,
    "terminated": i.EndpointState.REMOVED,
}
LONGEST = 10  # a message that wants to live longer than so many deadlines of its class is none of ours
OVERDUE_S = 0.1  # a message this long past its time with no end is ended here: the last line of defence
UNRUN = (i.AttemptResult.REJECTED, i.AttemptResult.CONNECT_FAILED, i.AttemptResult.NOT_ATTEMPTED)
# Shares of the limit on open files; the rest is for calls, discovery, the journal and Python itself.
CLIENT_SHARE, IDLE_SHARE = 0.5, 0.2
# A planned restart, in seconds from SIGTERM: new clients come until LISTEN_S, calls may last until CALLS_S.
LISTEN_S, CALLS_S, EXIT_S = 0.5, 3.2, 3.4
# Quiesced: clients that still come are served until LATE_S, and handed back from then on.
LATE_S = 2.0
CLOSE_S = 0.02  # between two looks for connections that can be closed
MAX_CORDONS = 1 << 14  # kept at once; those of endpoints that never come back would pile up
log = logging.getLogger(__name__)


class Host:
    """One courier on real sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Config) -> None:
        self.loop, self.config, self.s = loop, config, config.settings
        self.policy = DeliveryPolicy(self.s, config.seed)
        self.journal = Journal(
            config.state, config.disk_bytes, max(c.key_window_us for c in self.s.classes) / 1e6
        )
        self.numbers = 0
        self.classes = {c.name: n for n, c in enumerate(self.s.classes)}
        self.tenants = {t.name: n for n, t in enumerate(self.s.tenants)}
        self.kinds = {k.name: n for n, k in enumerate(self.s.kinds)}
        self.zones = {z: n for n, z in enumerate(config.zones)}
        self.uids: dict[str, int] = {}
        self.names: dict[int, str] = {}  # the other way round
        self.listed_ever = 0
        self.entries: dict[int, i.EndpointEntry] = {}
        self.dests: set[int] = set()  # that ever stood in a list: its endpoints may only be gone for now
        self.waits: dict[tuple[int, int], int] = {}  # told waits, by destination or route: when they end
        self.events: list[i.Event] = []
        self.arrived: dict[int, tuple[Held, list[Reply]]] = {}  # not answered yet
        self.arriving: dict[str, int] = {}  # their ids
        self.guards: dict[int, asyncio.TimerHandle] = {}
        self.attempts: dict[int, int] = {}  # numbers of the next attempts, as the decision module counts
        self.scheduled = False
        self.last_turn = -self.s.turn_interval_us
        self.closing_at = self.quiet_at = 0.0  # since SIGTERM; since operators asked to empty the courier
        self.emptying: asyncio.TimerHandle | None = None
        self.started = False  # this process owns the courier and serves
        self.frozen = self.retired = False  # all is being handed over to another process; it has been
        self.inherited: dict[tuple[int, int], int] = {}  # calls out at the process before: where
        self.there: dict[int, int] = {}  # its numbers of endpoints as they are here
        self.heard = asyncio.Event()  # a first word of discovery
        self.relayed: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self.moving: list[Client] = []  # connections that go to the other process
        self.handed_over: Callable[[], bool] = lambda: True  # whether all that was to be told has been
        self.counters = Counters([c.name for c in self.s.classes])
        self.closed: asyncio.Future[None] = loop.create_future()
        self.raw: dict[int, dict[str, Any]] = {}  # the list's entries as they came
        self.hooks: Any = SimpleNamespace(
            may_write=self._may_write,
            call_written=self.counters.written,
            attempts_starting=self._begin,
            attempt_ended=self._ended,
            retry_after_received=self._told_wait,
            load_report_received=self._reported,
            health_check_ended=self._probed,
        )
        self.calls = EndpointCallClient(
            loop,
            self.hooks,
            self.s.connection_idle_us,
            self.s.connect_timeout_us,
            int(config.sockets * IDLE_SHARE),
        )
        self.clients = ClientServer(self.put, max(8, int(config.sockets * CLIENT_SHARE)), self.not_ready)
        self.notices = Notices(loop, config.discovery, self._accepted)
        self.watch = Watch(loop, config.discovery, config.known["rev"], self.listed, self.s.instance_count)

    async def start(self) -> int:
        """Alone: nobody else serves. Returns the port."""
        self.warm()
        self.journal.acquire()
        return await self.assume()

    def warm(self) -> None:
        """What can be done before this process owns anything."""
        self.listed({"all": True, "targets": self.config.known["targets"]}, i.EndpointListForm.CACHED)
        self.watch.open()

    async def warmed(self, seconds: float) -> None:
        """Until discovery has told of the list; it may be down."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.heard.wait()

    async def assume(
        self,
        given: dict[str, Any] | None = None,
        fds: list[int] | None = None,
        clients: list[list[Any]] | None = None,
    ) -> int:
        """Restore, take the first turn, then listen: a PING is answered from here on. Returns the port.

        given, fds and clients: from the process before, where there is one (see freeze)."""
        self.numbers = self.journal.last
        known = self._inherit(given) if given is not None else set()
        for uid in self.journal.cordoned:
            if uid in self.uids:
                self.events.append(i.EndpointCordoned(self.uids[uid]))
        for m in list(self.journal.held.values()):
            self._restore(m, m.number in known)
        self.turn()
        fd = self.config.listen_fd
        if fds:
            if fd < 0:
                fd = fds[0]
            else:
                os.close(fds[0])
        port = await self.clients.listen(*self.config.listen, fd)
        for client, state in zip((fds or [])[1:], clients or [], strict=True):
            self.clients.adopt(client, state)
        self.started = True
        return port

    def _restore(self, m: Held, known: bool) -> None:
        if m.status:
            self.notices.add(m.number, m.id, m.status, m.again_ms)
            return
        if not known:
            self.events.append(self._arrival(m, restored=True))
        self._guard(m)

    def _inherit(self, given: dict[str, Any]) -> set[int]:
        """Go on with what the process before knew. Returns the numbers of the messages that it tells of."""
        if given["rev"] > self.watch.rev:  # its list is the newer one
            self.watch.rev = given["rev"]
            self.listed({"all": True, "targets": given["targets"]})
        for there, uid in given["endpoints"].items():
            if uid not in self.uids:  # listed no more: a call may still be out there
                self.listed_ever += 1
            self.there[there] = self.uids.get(uid, self.listed_ever)
        for destination, route, until in given["waits"]:
            self.waits[(destination, self.there.get(route, route))] = until
        brain = given["brain"]
        tries = brain["tries"]
        self.attempts.update({n: t for n, t in tries.items() if n in self.journal.held})
        for endpoint, items in given["calls"]:
            self.inherited.update({(n, attempt): self.there[endpoint] for n, attempt in items})
        self.events.append(i.StateImported(PolicySnapshot.from_wire(brain), self.there))
        return set(tries)

    def clock(self) -> int:
        return time.monotonic_ns() // 1000

    def _mono(self, wall: float) -> int:
        return self.clock() + int((wall - time.time()) * 1e6)

    def _arrival(self, m: Held, restored: bool = False) -> i.MessageSubmitted:
        ran = m.may_have_run_at
        return i.MessageSubmitted(
            m.number,
            m.cls,
            m.dest,
            self._mono(m.until),
            m.tenant,
            m.order,
            m.resubmitted,
            restored,
            m.tries,
            self._mono(ran) if ran else -1,
            m.may_have_run_zone,
        )

    # The turn

    def tell(self, event: i.Event) -> None:
        self.events.append(event)
        self.wake()

    def wake(self) -> None:
        """Take a turn as soon as what has come in with this event is read, a tick after the last at least."""
        if self.scheduled or self.frozen:
            return
        self.scheduled = True
        early = self.last_turn + self.s.turn_interval_us - self.clock()
        if early <= 0:
            self.loop.call_soon(self.turn)
        else:
            self.loop.call_later(early / 1e6, self.turn)

    def turn(self) -> None:
        self.scheduled = False
        if self.frozen:
            return  # what the module would do now, the process that comes after does
        self.last_turn = now = self.clock()
        events, self.events = self.events, []
        arrived, self.arrived = self.arrived, {}
        self.arriving.clear()
        try:
            actions: Iterable[i.Action] = self.policy.handle(now, events)
        except Exception:  # one bad turn must not end the process; each message still has its guard
            log.exception("the decision module failed on %d events", len(events))
            actions = [i.FailMessage(n) for n in arrived]
        try:
            self._carry_out(list(actions), arrived)
        except Exception:
            log.exception("actions failed")
            for _, replies in arrived.values():
                for reply in replies:
                    reply.send(b"-ERR internal error\r\n")

    def _carry_out(self, actions: list[i.Action], arrived: dict[int, tuple[Held, list[Reply]]]) -> None:
        for a in actions:
            if isinstance(a, (i.RejectMessage, i.FailMessage)) and a.message in arrived:
                m, replies = arrived.pop(a.message)
                self._count_end(m.cls, isinstance(a, i.RejectMessage))
                for reply in replies:
                    reply.send(
                        refusal(a.retry_after_us) if isinstance(a, i.RejectMessage) else b"-ERR failed\r\n"
                    )
        for m, replies in arrived.values():
            self._take(m, replies)
        bundles: dict[int, list[CallAttempt]] = {}
        for a in actions:
            if isinstance(a, i.SendAttempt):
                self._send(a, bundles)
            elif isinstance(a, (i.RejectMessage, i.FailMessage)):
                self._final(a)
            elif isinstance(a, i.SetTimer):
                self.loop.call_later(a.delay_us / 1e6 + 5e-5, self.tell, i.TimerFired(a.token))
            elif isinstance(a, i.CloseIdleConnections):
                self.calls.close_idle_connections(a.endpoint)
            elif isinstance(a, i.CancelAttempt):
                self.calls.cancel(a.message, a.attempt)
            elif isinstance(a, i.CheckEndpointHealth):
                self.calls.check_health(a.endpoint)
            elif isinstance(a, i.LogMessage):
                log.info("%s", a.text)
        for endpoint, items in bundles.items():
            most = self._batch(endpoint)
            for at in range(0, len(items), most):
                self._call(endpoint, items[at : at + most])

    # Clients

    def put(self, put: Put, reply: Reply) -> None:
        """A message is handed in. It is answered in the turn that follows."""
        cls = self.classes.get(put.cls)
        if cls is None:
            raise BadRequest("c: no such class")
        tenant = self.tenants.get(put.tenant or "", -1) if self.tenants else 0
        if tenant < 0:
            raise BadRequest("t: no such tenant")
        if self.s.classes[cls].idempotency is i.Idempotency.KEYED and not put.key:
            raise BadRequest("k: lacks, and the class is keyed")
        if put.life_ms * 1000 > LONGEST * self.s.classes[cls].deadline_us:
            raise BadRequest("d: far over the deadline of the class")
        if self.dests and put.dest not in self.dests:
            raise BadRequest("dest: no such destination")
        if self.frozen:
            reply.send(refusal(self.policy.come_back_us()))
            return
        if put.id in self.arriving:
            self.arrived[self.arriving[put.id]][1].append(reply)
            return
        if put.id in self.journal.ids or put.id in self.journal.over:
            reply.send(b"+OK\r\n")  # handed in again on a new connection: it is, or was, taken care of
            return
        late = self.quiet_at and self.loop.time() > self.quiet_at + LATE_S
        if late or self.journal.open + len(self.arrived) >= self.s.max_open_messages:
            self.counters.handed_back(cls)
            reply.send(refusal(self.policy.come_back_us()))
            return
        now = time.time()
        self.numbers += 1
        m = Held(
            self.numbers,
            put.id,
            cls,
            tenant,
            put.dest,
            put.key,
            now + put.life_ms / 1e3,
            put.resubmitted,
            put.body,
            put.order,
            ran_at=self.journal.key_ran_at(put.key),
            ran_zone=self.journal.keys.zone(put.key),
        )
        self._replace(m)
        self.arrived[m.number] = (m, [reply])
        self.arriving[m.id] = m.number
        self.tell(self._arrival(m))

    def _replace(self, m: Held) -> None:
        """A key that is still open here is handed in again only by a client that gave the older one up."""
        old = self.journal.held.get(self.journal.open_keys.get(m.key, 0))
        if old is None:
            return
        if not m.ran_at:
            m.ran_at, m.ran_zone = old.may_have_run_at, old.may_have_run_zone
        self.tell(i.MessageWithdrawn(old.number))
        last = self.attempts.get(old.number, 0) - 1
        self._end(old, "deferred", 0)
        self.calls.cancel(old.number, last)

    def _take(self, m: Held, replies: list[Reply]) -> None:
        text = b"+OK\r\n"
        if not any(r.wanted for r in replies):
            self.tell(i.MessageWithdrawn(m.number))  # nobody heard that it was taken on
            return
        try:
            self.journal.take(m)
        except OSError as error:
            log.error("not taken on: %s", error)
            text = refusal(self.policy.come_back_us())
            self.counters.handed_back(m.cls)
            self.tell(i.MessageWithdrawn(m.number))
        else:
            self._guard(m)
        for reply in replies:
            reply.send(text)

    def _guard(self, m: Held) -> None:
        delay = max(0.0, m.until + OVERDUE_S - time.time())
        self.guards[m.number] = self.loop.call_later(delay, self._overdue, m.number)

    def _overdue(self, number: int) -> None:
        m = self.journal.held.get(number)
        if self.frozen:
            self.guards[number] = self.loop.call_later(OVERDUE_S, self._overdue, number)
        elif m and not m.status:
            log.error("message %s was overdue", m.id)
            self.tell(i.MessageWithdrawn(number))
            self._end(m, "undeliverable", 0)

    # Ends

    def _final(self, a: i.RejectMessage | i.FailMessage) -> None:
        m = self.journal.held.get(a.message)
        if m is None or m.status:
            return
        if isinstance(a, i.RejectMessage):
            self._end(m, "deferred", -(-a.retry_after_us // 1000))
        else:
            self._end(m, "undeliverable", 0)

    def _end(self, m: Held, status: str, again_ms: int) -> None:
        """Owe the notice, then send it."""
        self._count_end(m.cls, status == "deferred")
        try:
            self.journal.final(m.number, status, again_ms)
        except OSError as error:  # sent all the same: to end it once more after a restart does no harm
            log.error("journal: %s", error)
            self.journal.end(m, status, again_ms)
        self._unguard(m.number)
        self.attempts.pop(m.number, None)
        self.notices.add(m.number, m.id, status, again_ms)

    def _count_end(self, cls: int, handed_back: bool) -> None:
        if handed_back:
            self.counters.handed_back(cls)
        else:
            self.counters.failed(cls)

    def _unguard(self, number: int) -> None:
        if guard := self.guards.pop(number, None):
            guard.cancel()

    def _accepted(self, numbers: list[int]) -> None:
        if self.frozen:
            self.relayed.append((self._accepted, (numbers,)))
            return
        self._note(self.journal.told, numbers)
        self._maybe_exit()

    def _note(self, write: Any, *args: Any) -> None:
        """A record whose loss does no harm: a restart then takes the more careful view."""
        try:
            write(*args)
        except OSError as error:
            log.error("journal: %s", error)

    # Calls

    def _batch(self, endpoint: int) -> int:
        entry = self.entries.get(endpoint)
        return self.s.kinds[min(entry.kind, len(self.s.kinds) - 1)].max_batch_size if entry else 1

    def _send(self, a: i.SendAttempt, bundles: dict[int, list[CallAttempt]]) -> None:
        m = self.journal.held.get(a.message)
        attempt = self.attempts.get(a.message, m.tries if m else 0)
        self.attempts[a.message] = attempt + 1
        if m is None or m.status:
            self.tell(
                i.AttemptEnded(a.message, attempt, a.endpoint, i.AttemptResult.NOT_ATTEMPTED, 0, m is None)
            )
            return
        zone = self.entries[a.endpoint].zone if a.endpoint in self.entries else -1
        item = CallAttempt(
            m.number,
            attempt,
            m.id,
            m.key,
            m.body,
            a.timeout_us,
            a.new_connection_timeout_us,
            a.require_new_connection,
            zone,
        )
        if self._batch(a.endpoint) > 1:
            bundles.setdefault(a.endpoint, []).append(item)
        else:
            self._call(a.endpoint, [item])

    def _call(self, endpoint: int, items: list[CallAttempt]) -> None:
        # A bundle is one call, waited for as long as its first message: led by one whose time is up sooner,
        # it counts as given up while the others are still waited for.
        items = sorted(items, key=lambda item: -self.journal.held[item.message_number].until)
        longest = max(item.timeout_us for item in items)
        fresh = max(item.new_connection_timeout_us for item in items)
        for item in items:
            left = (
                self._mono(self.journal.held[item.message_number].until)
                - self.clock()
                - 2 * self.s.turn_interval_us
            )
            item.timeout_us = max(item.timeout_us, min(longest, left))
            item.new_connection_timeout_us = max(item.new_connection_timeout_us, min(fresh, left))
        try:
            self.calls.send(endpoint, items)
        except Exception:  # its slots and messages must not hang on it
            log.exception("a call failed")
            for item in items:
                if not item.ended:
                    item.ended = True
                    result = i.AttemptResult.RESET if item.started else i.AttemptResult.NOT_ATTEMPTED
                    self._ended(item, endpoint, AttemptOutcome(result), 0)

    def _wait_key(self, endpoint: int) -> tuple[int, int]:
        entry = self.entries.get(endpoint)
        if entry is None:
            return (-1, endpoint)
        apart = self.s.kinds[min(entry.kind, len(self.s.kinds) - 1)].independent_endpoints
        return (entry.destination, endpoint if apart else -1)

    def _told_wait(self, endpoint: int, wait_us: int) -> None:
        if endpoint not in self.entries:
            return  # it has left the list: the decision module still heeds it for the destination
        key = self._wait_key(endpoint)
        self.waits[key] = max(self.waits.get(key, 0), self.clock() + wait_us)

    def _reported(self, endpoint: int, values: dict[str, float]) -> None:
        if all(name in values for name in self.s.load_report_fields):
            self.tell(
                i.LoadReportReceived(endpoint, tuple(values[name] for name in self.s.load_report_fields))
            )

    def _may_write(self, endpoint: int) -> bool:
        """News that came while a connection was being made holds for the call that waits for it."""
        entry = self.entries.get(endpoint)
        ready = entry is not None and entry.state is i.EndpointState.READY
        ready = ready and self.names.get(endpoint) not in self.journal.cordoned
        return ready and self.waits.get(self._wait_key(endpoint), 0) <= self.clock()

    def _begin(self, items: list[CallAttempt]) -> bool:
        if any(
            n.message_number not in self.journal.held or self._repeats_late(n.message_number) for n in items
        ):
            return False
        try:
            self.journal.attempt([n.message_number for n in items], time.time(), items[0].zone)
        except OSError as error:
            log.error("journal: %s", error)
            return False
        return True

    def _repeats_late(self, number: int) -> bool:
        """Its connection came up so late that its key may be known no more."""
        m = self.journal.held[number]
        cls = self.s.classes[m.cls]
        ran = m.may_have_run_at if cls.idempotency is i.Idempotency.KEYED else 0.0
        return bool(ran) and time.time() >= ran + (cls.key_window_us - self.policy.state.margin_us) / 1e6

    def _ended(self, item: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency: int) -> None:
        m = self.journal.held.get(item.message_number)
        over = outcome.message_ended or m is None
        if m and not m.status and outcome.result is i.AttemptResult.OK:
            self.counters.delivered(m.cls)
        if outcome.message_ended and m:
            self._note(self.journal.done, m.number)
            self._unguard(m.number)
        elif m and item.started and outcome.result in UNRUN:
            self._note(self.journal.missed, m.number)
        if over:
            self.attempts.pop(item.message_number, None)
        self.tell(
            i.AttemptEnded(
                item.message_number,
                item.attempt,
                endpoint,
                outcome.result,
                max(1, latency),
                over,
                outcome.retry_after_us,
                item.on_new_connection if item.started else None,
                outcome.malformed,
            )
        )
        self._maybe_exit()

    def _probed(self, endpoint: int, result: i.AttemptResult, latency: int) -> None:
        self.tell(i.HealthCheckEnded(endpoint, result, latency))

    # The list

    def listed(self, change: dict[str, Any], form: i.EndpointListForm | None = None) -> None:
        form = form or (i.EndpointListForm.COMPLETE if change.get("all") else i.EndpointListForm.DELTA)
        entries = []
        for target in change.get("targets", []):
            try:
                entry, address = self._entry(target)
            except (KeyError, TypeError, ValueError, ConfigError) as error:
                log.error("discovery: an entry that can't be read: %r", error)
                continue
            entries.append(entry)
            self.entries[entry.endpoint], self.raw[entry.endpoint] = entry, target
            self.dests.add(entry.destination)
            self.calls.set_address(entry.endpoint, address)
        if form is not i.EndpointListForm.CACHED:
            self.heard.set()
        if form is not i.EndpointListForm.DELTA:
            named = {e.endpoint for e in entries}
            for number in [n for n in self.entries if n not in named]:
                self._gone(number)
        for entry in entries:
            if entry.state is i.EndpointState.REMOVED:
                self._gone(entry.endpoint)
            elif entry.state is i.EndpointState.DRAINING:
                self.calls.close_idle_connections(entry.endpoint)
        self.tell(i.EndpointListReceived(form, tuple(entries)))
        for entry in entries:  # in the same turn: the list lifts no cordon, nor does a new number
            if self.names.get(entry.endpoint) in self.journal.cordoned:
                self.tell(i.EndpointCordoned(entry.endpoint))

    def move(self, discovery: Address) -> None:
        """Discovery is at another address: the watch and the notices both go there."""
        if discovery != self.watch.address:
            log.info("discovery moves to %s:%d", *discovery)
            self.watch.move(discovery)
            self.notices.move(discovery)

    def _gone(self, endpoint: int) -> None:
        self.raw.pop(endpoint, None)
        if entry := self.entries.pop(endpoint, None):
            self.waits.pop((entry.destination, endpoint), None)
        self.uids.pop(self.names.pop(endpoint, ""), None)  # an id that has gone does not come again
        self.calls.remove_endpoint(endpoint)

    def _entry(self, target: dict[str, Any]) -> tuple[i.EndpointEntry, tuple[str, int]]:
        uid = str(target["uid"])
        if uid not in self.uids:
            self.listed_ever += 1
            self.uids[uid], self.names[self.listed_ever] = self.listed_ever, uid
        number = self.uids[uid]
        kind, zone = self.kinds.get(target.get("model", ""), 0), self.zones.get(target.get("az", ""), 0)
        entry = i.EndpointEntry(
            number,
            int(target["pod_group"]),
            STATES[target["state"]],
            float(target.get("capacity_hint") or 0.0),
            kind,
            zone,
        )
        return entry, parse_address(target["endpoint"], "endpoint")

    # A handover, as the process that is asked

    def may_hand_over(self) -> str:
        return "ending" if self.closing_at else "" if self.started else "starting"

    def freeze(self, relay: Callable[[list[Any]], None]) -> tuple[dict[str, Any], list[int], list[list[Any]]]:
        """Let go of the courier: nothing is accepted, read, begun or recorded from here on.

        Returns what is known, the descriptors of the listening socket and of the clients that wait for no
        answer, and what was read from each of these. What comes of the calls out is told to `relay`."""
        self.clients.hold()
        self.events.append(
            i.ShutdownScheduled(self.clock())
        )  # what has come in is answered, but no call begins
        self.turn()
        self.calls.abandon_unstarted()
        self.turn()
        self.frozen = True
        self.relayed.clear()
        self.calls.observer = self._relaying(relay)
        self.moving = [c for c in self.clients.clients if c.portable]
        brain = capture(self.policy.state).to_wire()
        given = {
            "brain": brain,
            "rev": self.watch.rev,
            "targets": list(self.raw.values()),
            "endpoints": {n: self.names.get(n, "") for n in self.policy.state.endpoints},
            "waits": [[*key, until] for key, until in self.waits.items()],
            "calls": [[endpoint, items] for endpoint, _, _, items in brain["calls"]],
        }
        listening = [self.clients.sock] if self.clients.sock is not None else []
        fds = [sock.fileno() for sock in (*listening, *(c.sock for c in self.moving))]
        states = [c.state() for c in self.moving]
        self.journal.close()
        return given, fds, states

    def _relaying(self, relay: Callable[[list[Any]], None]) -> Any:
        """Hooks that tell the process that comes after, and keep what they told in case it never owns."""

        def ended(item: CallAttempt, endpoint: int, outcome: AttemptOutcome, latency: int) -> None:
            self.relayed.append((self._ended, (item, endpoint, outcome, latency)))
            relay(
                [
                    "ended",
                    item.message_number,
                    item.attempt,
                    endpoint,
                    item.started,
                    item.on_new_connection,
                    latency,
                    outcome.result.value,
                    outcome.message_ended,
                    outcome.retry_after_us,
                    outcome.malformed,
                ]
            )

        def told_wait(endpoint: int, wait_us: int) -> None:
            self.relayed.append((self._told_wait, (endpoint, wait_us)))
            relay(["wait", endpoint, wait_us])

        def reported(endpoint: int, values: dict[str, float]) -> None:
            self.relayed.append((self._reported, (endpoint, values)))
            relay(["load", endpoint, values])

        return SimpleNamespace(
            may_write=lambda endpoint: False,
            call_written=self.counters.written,
            attempts_starting=lambda items: False,
            attempt_ended=ended,
            retry_after_received=told_wait,
            load_report_received=reported,
            health_check_ended=lambda endpoint, result, latency: None,
        )

    def thaw(self) -> None:
        """The other process has gone without owning: go on."""
        self.frozen = False
        self.calls.observer = self.hooks
        for told, values in self.relayed:
            told(*values)
        self.clients.go_on()
        self.tell(i.ShutdownScheduled(math.inf))

    def retire(self) -> None:
        """The other process owns: only the calls that are out are finished here."""
        self.retired, self.started = True, False
        self.relayed.clear()
        for guard in self.guards.values():
            guard.cancel()
        self.guards.clear()
        self.journal.held.clear()
        self.journal.open = 0
        self.watch.stop()
        self.notices.stop()
        self.clients.stop_listening()
        for client in self.moving:
            client.close()
        self._leave()

    def _leave(self) -> None:
        for client in list(self.clients.clients):
            client.finish()
        if self.calls.in_flight or self.clients.clients or not self.handed_over():
            self.loop.call_later(CLOSE_S, self._leave)
        else:
            self._exit()

    # And as the one that was started

    def outcome_reported(self, message: list[Any]) -> None:
        """What came of a call of the process before."""
        kind, rest = message[0], message[1:]
        if kind == "wait":
            self._told_wait(self.there.get(rest[0], -1), rest[1])
        elif kind == "load":
            self._reported(self.there.get(rest[0], -1), rest[1])
        elif kind == "ended":
            number, attempt, _, begun, fresh, latency, result, over, wait_us, spoilt = rest
            self._inherited_ended(
                number,
                attempt,
                AttemptOutcome(i.AttemptResult(result), over, wait_us, spoilt),
                latency,
                begun,
                fresh,
            )

    def reports_ended(self) -> None:
        """The process before has gone: what it has not told of may have run."""
        if self.inherited:
            log.warning("%d calls of the process before may have run", len(self.inherited))
        for number, attempt in list(self.inherited):
            self._inherited_ended(number, attempt, AttemptOutcome(i.AttemptResult.CANCELLED), 0, True, False)

    def _inherited_ended(
        self, number: int, attempt: int, outcome: AttemptOutcome, latency: int, begun: bool, fresh: bool
    ) -> None:
        endpoint = self.inherited.pop((number, attempt), None)
        if endpoint is not None:
            item = CallAttempt(
                number, attempt, "", "", b"", 0, on_new_connection=fresh, started=begun, ended=True
            )
            self._ended(item, endpoint, outcome, latency)

    # Operators

    def not_ready(self) -> str:
        """Why this process is not to be sent clients, empty if it is."""
        if self.frozen:
            return "handed over" if self.retired else "handing over"
        if self.closing_at:
            return "ending"
        if self.quiet_at:
            return "quiesced"
        return "" if self.started else "starting"

    def health(self) -> None:
        if why := self.not_ready():
            raise Refused(why)

    def figures(self) -> str:
        down = sum(1 for endpoint in self.policy.avoided_endpoints() if endpoint in self.entries)
        return self.counters.render(
            {"inflight": self.journal.open, "hosts_listed": len(self.entries), "hosts_down": down}
        )

    def _operable(self) -> None:
        if self.frozen or not self.started:
            raise Refused(self.not_ready())

    def cordon(self, uid: str) -> None:
        self._operable()
        if uid in self.journal.cordoned:
            return
        if uid not in self.uids:
            raise Refused("no such endpoint")
        if len(self.journal.cordoned) >= MAX_CORDONS:
            raise Refused("too many are cordoned")
        self._cordon(uid, True)

    def uncordon(self, uid: str) -> None:
        self._operable()
        if uid in self.journal.cordoned:
            self._cordon(uid, False)
        elif uid not in self.uids:
            raise Refused("no such endpoint")

    def _cordon(self, uid: str, on: bool) -> None:
        """Recorded before it is told: what was said to an operator outlasts the process."""
        try:
            self.journal.cordon(uid, on)
        except OSError as error:
            raise Refused(f"can't be recorded: {error}") from None
        log.info("endpoint %s is %s", uid, "cordoned" if on else "put back")
        if (endpoint := self.uids.get(uid)) is not None:
            self.calls.close_idle_connections(endpoint)
            self.tell(i.EndpointCordoned(endpoint, on))

    def quiesce(self) -> None:
        """Empty the courier: no more clients are asked for, those that still come are served."""
        self._operable()
        if self.closing_at or self.quiet_at:
            return
        log.info("quiesced")
        self.quiet_at = self.loop.time()
        self.emptying = self.loop.call_later(LISTEN_S, self._empty)

    def resume(self) -> None:
        self._operable()
        if self.closing_at:
            raise Refused("ending")
        if self.quiet_at:
            log.info("resumed")
        self.quiet_at = 0.0
        if self.emptying is not None:
            self.emptying.cancel()

    def _empty(self) -> None:
        """Close connections between requests, again and again while the courier is being emptied."""
        self.clients.close_idle()
        self.emptying = self.loop.call_later(CLOSE_S, self._empty)
        self._maybe_exit()

    # The end

    def terminate(self) -> None:
        """A planned restart: clients that still come are served, what is not done stays in the journal."""
        if self.closing_at:
            return
        if self.frozen and not self.retired:  # it is known in a moment who is to end
            self.loop.call_later(CLOSE_S, self.terminate)
            return
        now = self.loop.time()
        self.closing_at = now + EXIT_S
        if self.emptying is not None:
            self.emptying.cancel()
        self.loop.call_later(EXIT_S, self._exit)
        if self.retired:
            return  # it ends with its last call anyway
        if not self.started:
            self._exit()  # it owns nothing yet
            return
        self.tell(i.ShutdownScheduled(self.clock() + int(CALLS_S * 1e6)))
        self.loop.call_later(LISTEN_S, self._stop_clients)

    def _stop_clients(self) -> None:
        self.clients.take_up()
        self.clients.stop_listening()
        self._empty()

    def _maybe_exit(self) -> None:
        # What still waits for its turn may be sent until the last call must have begun.
        done = not self.calls.in_flight and not self.journal.held and not self.events and not self.arrived
        if self.closing_at and done and not self.clients.clients and not self.clients.listening:
            self._exit()

    def _exit(self) -> None:
        if self.closed.done():
            return
        self.clients.last_look()
        if self.arrived:  # a request that is whole gets its answer before its connection ends
            self.turn()
        self.closed.set_result(None)

    def close(self) -> None:
        """Let go of everything at once; the journal already holds what is open."""
        self.frozen = True  # a turn that is due would find no journal
        self.watch.stop()
        self.notices.stop()
        self.calls.close()
        self.clients.close()
        self.journal.close()


def refusal(wait_us: int) -> bytes:
    return b"-BUSY %d\r\n" % -(-wait_us // 1000) if wait_us > 0 else b"-BUSY\r\n"
