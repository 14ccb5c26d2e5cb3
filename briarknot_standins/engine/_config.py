"""Configuration and faults of the engine stand-in."""

import typing

import attrs
import cappa

from briarknot.schema import fleet


@cappa.command(name='briarknot_standins.engine', default_long=True)
@attrs.frozen(kw_only=True)
class EngineConfig:
    """Configuration of one engine.

    :param port: port on the loopback interface.
    :param name: name in log lines and in ``GET /runs``.
    :param model: model and version at the start, as NAME@VERSION.
    :param role: role at the start.
    :param prefill_tokens_per_s: prefill speed of the engine.
    :param decode_tokens_per_s: decode speed of one stream.
    :param max_streams: maximum number of concurrent streams; further ones are
        queued.
    :param kv_blocks: blocks of KV cache for running requests.
    :param cache_blocks: blocks in the prefix cache.
    :param kv_import_s_per_block: time to import one block of KV cache.
    :param prefill_interference: factor on decode time during a prefill.
    :param time_compression: factor by which the durations of work and of
        changes are divided; reported speeds are multiplied by it. Lags and
        delays are not affected.
    :param role_change_s: duration of a change of role.
    :param model_change_s: duration of a change of model.
    :param check_fencing: whether orders with an old epoch are refused.
    :param report_lag_s: age of load reports, at most 50 s.
    :param cache_event_delay_s: age at which a cache event becomes visible.
    :param cache_event_loss: share of cache events that are never visible.
    :param chunks_per_write: chunks sent in one write; more than one reduces the
        CPU load of benchmarks.
    :param weights_url: base URL of the platform, from which an order to
        change the model loads weights; empty to load nothing.
    :param runs_kept: number of most recent requests that ``GET /runs``
        covers.
    :param seed: seed of the random faults.
    """

    port: int = 0
    name: str = 'engine'
    model: str = 'standin@1'
    role: fleet.Role = fleet.Role.MIXED
    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 40.0
    max_streams: int = 16
    kv_blocks: int = 512
    cache_blocks: int = 256
    kv_import_s_per_block: float = 0.02
    prefill_interference: float = 1.5
    time_compression: float = 1.0
    role_change_s: float = 5.0
    model_change_s: float = 10.0
    check_fencing: typing.Annotated[
        bool, cappa.Arg(long='--check-fencing/--no-check-fencing')
    ] = True
    report_lag_s: float = 0.5
    cache_event_delay_s: float = 0.5
    # cappa treats a falsy default as a missing one.
    cache_event_loss: typing.Annotated[
        float, cappa.Arg(long=True, default=0)
    ] = 0
    chunks_per_write: int = 1
    weights_url: typing.Annotated[str, cappa.Arg(long=True, default='')] = ''
    runs_kept: int = 100_000
    seed: int = 1


@attrs.frozen(kw_only=True)
class Faults:
    """Faults in force, as ``POST /faults`` sets them.

    :param crash_at_token: token before which the process exits; -1 for none.
        With a marker it applies to prompts that contain the marker.
    :param crash_marker: prompts that contain it crash the process, as their
        prefill starts or at ``crash_at_token``.
    :param break_at_token: token before which a stream breaks; -1 for none. A
        stream that is resumed at this token does not break again.
    :param break_cleanly: whether a broken stream ends as a complete HTTP
        response that lacks its last chunk; otherwise its connection is reset.
    :param stray_share: share of chunks that follow a copy of an earlier
        chunk, of the same stream or of another one.
    :param crash_in_change: whether the process exits halfway through the next
        change.
    :param slow_factor: factor on prefill and decode time.
    :param silence_open: silences the connections that are open now
        permanently; takes effect once for each request to ``POST /faults``.
    :param order_delay_s: time between receipt and handling of an order.
    :param check_fencing: whether orders with an old epoch are refused.
    :param cache_event_loss: share of cache events that are lost.
    :param report_lag_s: age of load reports.
    """

    crash_at_token: int = -1
    crash_marker: str = ''
    break_at_token: int = -1
    break_cleanly: bool = False
    stray_share: float = 0
    crash_in_change: bool = False
    slow_factor: float = 1.0
    silence_open: bool = False
    order_delay_s: float = 0
    check_fencing: bool = True
    cache_event_loss: float = 0
    report_lag_s: float = 0.5

    def get_break(self, start: int, token: int, end: int) -> int:
        """Returns the token before which a stream breaks.

        :param start: first token of the stream.
        :param token: next token of the stream.
        :param end: number of tokens of the whole answer.
        :returns: the token, or ``end`` where the stream does not break.
        """
        breaking = self.break_at_token
        ahead = breaking > start and breaking >= token
        return min(end, breaking) if ahead else end
