"""Starts stand-ins and programs as processes on the loopback interface.

.. code-block:: python

    async with launcher.make_cluster() as cluster:
        engine = await cluster.start('briarknot_standins.engine')
        engine.kill()
"""

from briarknot_standins.launcher._cluster import (
    Cluster,
    StartError,
    make_cluster,
)
from briarknot_standins.launcher._ports import choose_port
from briarknot_standins.launcher._process import Process

__all__ = ('Cluster', 'Process', 'StartError', 'choose_port', 'make_cluster')
