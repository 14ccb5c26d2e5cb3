"""Which started processes this one informs of the engines' caches, and of what."""

import typing

import attrs

from briarknot import schema, serving
from briarknot.gateway import _clock, _context

#: Processes that tell one that has just started what the engines' caches hold.
INFORMERS = 2
#: Names of lists in a datagram; each takes about 35 bytes.
_MAX_NAMES = 1000
#: Cached parts in a datagram; each takes about 50 bytes.
_PARTS_PER_DATAGRAM = 300

Parts = tuple[schema.messages.CachedPart, ...]


@attrs.define(eq=False)
class StartedHosts:
    """Starts of other processes that this one has noticed."""

    _context: _context.Context

    def is_informer(self, message: schema.messages.EngineWork) -> bool:
        """Returns whether this process informs the sender, which has started.

        Two processes of its domain do, so that the loss of one does no harm.
        Without it the process would have shared parts prefilled again.

        :param message: first message of a process since its start, or another.
        """
        starts = self._context.heard_starts
        is_known = starts.get(message.host) == message.born_ms
        starts[message.host] = message.born_ms
        peer = self._context.peer_hosts.get(message.host)
        if is_known or peer is None:
            return False
        local = self._context.settings.host
        domains = {
            local: self._context.settings.domain,
            **{
                host: other.domain
                for host, other in self._context.peer_hosts.items()
            },
        }
        del domains[message.host]
        near = [
            host for host, domain in domains.items() if domain == peer.domain
        ]
        informers = serving.rank_names(message.host, near or domains)
        return local in informers[:INFORMERS]


def split_parts(parts: Parts) -> tuple[Parts, ...]:
    """Splits cached parts into those of one datagram each.

    :param parts: the parts.

    >>> split_parts(())
    ()
    """
    return tuple(
        parts[start : start + _PARTS_PER_DATAGRAM]
        for start in range(0, len(parts), _PARTS_PER_DATAGRAM)
    )


def record_address(context: _context.Context, message: typing.Any) -> None:
    """Records the address of another process, which may have changed.

    :param context: state of this process.
    :param message: message of the other process, with its address.
    """
    hosts = context.peer_hosts
    is_local = message.host == context.settings.host
    peer = _context.PeerHost((message.address, message.port), message.domain)
    if message.port and not is_local and hosts.get(message.host) != peer:
        context.set_peer_hosts({**hosts, message.host: peer})


def make_status(
    context: _context.Context, *, has_parts: bool
) -> schema.messages.CacheStatus:
    """Makes the message that says whether this process knows the caches.

    :param context: state of the process.
    :param has_parts: whether what it knows was sent before.
    """
    listing = context.cache_listing
    is_known = listing.knows_caches(_clock.read_clock())
    return schema.messages.CacheStatus(
        host=context.settings.host,
        is_known=is_known,
        has_parts=has_parts,
        listed=() if is_known else listing.listed[:_MAX_NAMES],
    )
