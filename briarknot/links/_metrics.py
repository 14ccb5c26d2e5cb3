"""Metrics of peer links."""

import prometheus_client

CONNECTS = prometheus_client.Counter(
    'briarknot_peer_connects_total',
    'Attempts to connect to a peer, by outcome.',
    ('outcome',),
)
REFUSALS = prometheus_client.Counter(
    'briarknot_peer_refusals_total',
    'Peer connections refused, by reason.',
    ('reason',),
)
MESSAGES = prometheus_client.Counter(
    'briarknot_peer_messages_total',
    'Peer messages, by direction and kind.',
    ('direction', 'kind'),
)
BYTES = prometheus_client.Counter(
    'briarknot_peer_bytes_total',
    'Bytes of peer messages, by direction.',
    ('direction',),
)
DROPPED = prometheus_client.Counter(
    'briarknot_peer_dropped_messages_total',
    'Peer messages dropped, by reason.',
    ('reason',),
)
LINKS = prometheus_client.Gauge(
    'briarknot_peer_links', 'Open peer links, by program.', ('program',)
)
INCARNATION = prometheus_client.Gauge(
    'briarknot_incarnation', 'Own incarnation.'
)
LIVE = prometheus_client.Gauge(
    'briarknot_live_members',
    'Entry processes that are not suspected and not leaving.',
)
