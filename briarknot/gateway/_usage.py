"""Counts requests of client accounts that begin to run."""

from briarknot.gateway import _clock, _context, _requests

_DUTY = 'usage_report'


def is_enabled(context: _context.Context) -> bool:
    """Returns whether the settings name the duty and the manifest has accounts.

    :param context: state of the process.
    """
    settings = context.settings
    manifest = context.fleet.manifest
    return (
        _DUTY in settings.duties
        and bool(settings.duty_address)
        and manifest is not None
        and manifest.has_accounts
    )


def read_window(context: _context.Context) -> int:
    """Returns the present window.

    :param context: state of the process.
    """
    true_s = context.account_usage.clock.read(_clock.read_clock())
    return int(true_s // context.settings.usage_window_s)


def begin_plain(
    context: _context.Context, request: _requests.Request
) -> int | None:
    """Counts a plain request that is about to be sent to a worker.

    :param context: state of the process.
    :param request: the request.
    :returns: the window in which it was counted; None where it was not.
    """
    if request.may_have_run or not _is_counted(context, request):
        return None
    window = read_window(context)
    context.account_usage.counts.count(request.call.account, window)
    return window


def withdraw_plain(
    context: _context.Context, request: _requests.Request, window: int | None
) -> None:
    """Withdraws the count of a request that its worker did not run.

    :param context: state of the process.
    :param request: the request.
    :param window: the window in which it was counted; None where it was not.
    """
    if window is not None:
        context.account_usage.counts.count(request.call.account, window, -1)


def begin_stream(context: _context.Context, request: _requests.Request) -> None:
    """Counts a generation at its first event.

    A stream that its client takes up again was counted at its first event.

    :param context: state of the process.
    :param request: the request.
    """
    if _is_counted(context, request) and not request.call.continues_stream:
        context.account_usage.counts.count(
            request.call.account, read_window(context)
        )


def _is_counted(context: _context.Context, request: _requests.Request) -> bool:
    return bool(request.call.account) and is_enabled(context)
