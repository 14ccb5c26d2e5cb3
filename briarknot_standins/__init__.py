"""Stand-ins for the external systems of briarknot, on the loopback interface.

Each stand-in is a program with a port, and a factory for use in-process:

- ``engine``: a language-model engine;
- ``service``: a worker of a plain service;
- ``platform``: tables, objects, host list and weights;
- ``proxy``: a TCP proxy that injects faults between two programs.

``control`` sets faults and reads counters; ``launcher`` starts the stand-ins
and the programs of briarknot as processes.

.. code-block:: python

    app = engine.make_app(engine.EngineConfig(time_compression=100))
    async with serving.serve(app) as url:
        ...
"""
