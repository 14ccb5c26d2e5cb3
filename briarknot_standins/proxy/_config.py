"""Configuration of the proxy and the requests of its control port."""

import enum

import attrs
import cappa


class Direction(enum.StrEnum):
    """Directions that a fault applies to."""

    #: Both directions.
    BOTH = 'both'
    #: From the side that opened the connection.
    FORWARD = 'forward'
    #: To the side that opened the connection.
    BACKWARD = 'backward'

    def includes(self, other: 'Direction') -> bool:
        """Returns whether a fault of this direction affects ``other``."""
        return self in {Direction.BOTH, other}


@attrs.frozen(kw_only=True)
class Link:
    """A port that the proxy listens on, and the target of its connections.

    :param name: name of the link.
    :param port: port on the loopback interface; 0 picks a free one.
    :param target_host: host of the target.
    :param target_port: port of the target.
    """

    name: str
    port: int = 0
    target_host: str = '127.0.0.1'
    target_port: int


def parse_link(text: str) -> Link:
    """Parses ``NAME=PORT:TARGET_HOST:TARGET_PORT``.

    >>> parse_link('obb-1=7001:127.0.0.1:8001').target_port
    8001
    """
    name, _, rest = text.partition('=')
    port, target_host, target_port = rest.split(':')
    return Link(
        name=name,
        port=int(port),
        target_host=target_host,
        target_port=int(target_port),
    )


@cappa.command(name='briarknot_standins.proxy', default_long=True)
@attrs.frozen(kw_only=True)
class ProxyConfig:
    """Configuration of the proxy.

    :param port: port of the control interface.
    :param link: links, each as NAME=PORT:TARGET_HOST:TARGET_PORT.
    """

    port: int = 0
    link: list[str] = attrs.field(factory=list)

    @property
    def links(self) -> tuple[Link, ...]:
        """The links."""
        return tuple(parse_link(text) for text in self.link)


@attrs.frozen(kw_only=True)
class FaultRequest:
    """Body of ``POST /faults``.

    :param kind: registered fault kind.
    :param link: link that is affected; empty for all links.
    :param direction: direction that is affected.
    :param seconds: delay, or time after which held bytes are released; 0
        holds them until the fault is removed.
    :param marker: text from which on a hold holds bytes; empty holds all.
    """

    kind: str
    link: str = ''
    direction: Direction = Direction.BOTH
    seconds: float = 0
    marker: str = ''
