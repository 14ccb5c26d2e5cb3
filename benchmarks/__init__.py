"""Load scenarios over real processes, run by ``python -m benchmarks``."""
