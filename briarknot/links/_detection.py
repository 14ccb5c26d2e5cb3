"""Runs a failure detector over the links of a hub."""

import asyncio

import attrs

from briarknot import membership, schema
from briarknot.links import _hub, _link, _metrics

_PROGRAM = 'entry'
_TICKS_PER_HEARTBEAT = 4


@attrs.frozen
class _Detection:
    hub: _hub.Hub
    members: membership.Members
    detector: membership.Detector

    async def read_hello(
        self, _link_of_peer: _link.Link, hello: schema.messages.Hello
    ) -> None:
        self.members.apply_hello(hello)
        member = self.members.get(hello.host)
        if member and hello.program == _PROGRAM:
            # A suspected peer answers a heartbeat's incarnation by refuting.
            heartbeat = schema.messages.Heartbeat(
                incarnation=hello.incarnation, revision=hello.revision
            )
            self.receive(hello.host, heartbeat)

    async def read(self, link: _link.Link, message: membership.Message) -> None:
        if link.program == _PROGRAM:
            self.receive(link.host, message)

    def receive(self, host: str, message: membership.Message) -> None:
        now = asyncio.get_running_loop().time()
        self.send(self.detector.receive(host, message, now))

    def send(self, actions: membership.Actions) -> None:
        own = self.members.local
        if own.incarnation != self.hub.hello.incarnation:
            self.hub.update_hello(own.incarnation, self.hub.hello.revision)
        for action in actions:
            message = action.message
            if isinstance(message, schema.messages.Heartbeat):
                message = attrs.evolve(
                    message, revision=self.hub.hello.revision
                )
            if isinstance(action, membership.Broadcast):
                self.hub.broadcast(message)
            else:
                self.hub.send(action.host, message)


async def run_detector(
    hub: _hub.Hub,
    members: membership.Members,
    detector: membership.Detector,
    heartbeat_s: float,
) -> None:
    """Feeds a detector with the messages of a hub and with the time.

    Tells the linked peers when the own incarnation changes. Runs without end.

    :param hub: the links.
    :param members: the view that the detector keeps.
    :param detector: the detector.
    :param heartbeat_s: period of its heartbeats.
    """
    detection = _Detection(hub, members, detector)
    hub.register(schema.messages.Hello, detection.read_hello)
    hub.register(schema.messages.Heartbeat, detection.read)
    hub.register(schema.messages.Suspicion, detection.read)
    while True:
        now = asyncio.get_running_loop().time()
        detection.send(detector.tick(now))
        _metrics.INCARNATION.set(members.local.incarnation)
        _metrics.LIVE.set(len(members.live()))
        await asyncio.sleep(heartbeat_s / _TICKS_PER_HEARTBEAT)
