"""Guards against a resumed process that acts on old state."""

import asyncio

from briarknot import membership


async def test_gap_renews_the_incarnation_once():
    """A pause that stays unnoticed keeps the suspected incarnation."""
    view = membership.make_members('a', 'x', 1)
    times = [0]
    renewed = asyncio.Event()

    def on_pause(_gap_s):
        view.renew()
        renewed.set()

    detector = membership.make_pause_detector(1, on_pause, lambda: times[-1])
    task = asyncio.create_task(detector.run())
    await asyncio.sleep(0)
    times.append(5)
    await renewed.wait()
    incarnation = view.local.incarnation
    assert incarnation > 1
    assert not detector.check()
    times.append(6)
    assert not detector.check()
    assert view.local.incarnation == incarnation
    task.cancel()
