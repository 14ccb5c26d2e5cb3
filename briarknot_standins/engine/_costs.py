"""Durations of the engine's work."""

import asyncio

import attrs

from briarknot_standins.engine import _config


@attrs.define(eq=False)
class Costs:
    """Speeds and durations of one engine, after time compression.

    :param config: configuration of the engine.
    :param slow_factor: factor on prefill and decode time.
    """

    _config: _config.EngineConfig
    slow_factor: float = 1

    @property
    def prefill_speed(self) -> float:
        """Prefill speed in tokens/s."""
        speed = self._config.prefill_tokens_per_s / self.slow_factor
        return speed * self._config.time_compression

    @property
    def decode_speed(self) -> float:
        """Decode speed of one stream in tokens/s."""
        speed = self._config.decode_tokens_per_s / self.slow_factor
        return speed * self._config.time_compression

    def get_interval_s(self, *, in_prefill: bool) -> float:
        """Returns the decode time of the next token of a stream.

        :param in_prefill: whether a prefill runs on the same engine.
        """
        factor = self._config.prefill_interference if in_prefill else 1
        return factor / self.decode_speed

    async def sleep_prefill(self, tokens: int) -> None:
        """Sleeps for the duration of a prefill."""
        await asyncio.sleep(tokens / self.prefill_speed)

    async def sleep_import(self, kv_blocks: int) -> None:
        """Sleeps for the duration of a KV cache import."""
        cost_s = kv_blocks * self._config.kv_import_s_per_block
        await asyncio.sleep(cost_s / self._config.time_compression)
