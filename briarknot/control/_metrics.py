"""Metrics of orders, drains, and alarms."""

import prometheus_client

ORDERS = prometheus_client.Counter(
    'briarknot_control_orders',
    'Orders that ended, by kind and phase.',
    ('kind', 'phase'),
)
REISSUED = prometheus_client.Counter(
    'briarknot_control_orders_reissued',
    'Orders given again because the engine does not know the former one.',
)
UNORDERED = prometheus_client.Counter(
    'briarknot_control_unordered_states',
    'Alarms: states of engines that were not ordered.',
    ('engine',),
)
SILENT = prometheus_client.Gauge(
    'briarknot_control_silent_engines',
    'Engines with an open order whose state cannot be read.',
    ('engine',),
)
DELAYED = prometheus_client.Gauge(
    'briarknot_control_delayed_drains',
    'Alarms: drains that take longer than expected.',
    ('engine',),
)
DRAIN_SECONDS = prometheus_client.Histogram(
    'briarknot_control_drain_seconds',
    'Time from the drain mark to the order.',
    buckets=(0.5, 1, 2, 5, 10, 20, 60, 120, 300),
)
