"""Guards against a dispatch with stale drain marks after a pause."""

import functools

import attrs

from briarknot import membership, schema
from briarknot.entry import _drain_marks


@attrs.define
class _Platform:
    """Counts reads, in place of the client and the follower."""

    scans: int = 0
    refreshes: int = 0
    revision: int = 1

    async def scan_rows(self, _table, _prefix):
        self.scans += 1
        return ()

    async def refresh(self):
        self.refreshes += 1


async def test_dispatch_after_a_gap_refreshes_the_marks(monkeypatch):
    """A task may dispatch before the pause detector's task runs again."""
    times = [0]
    make = functools.partial(
        membership.make_pause_detector, clock=lambda: times[-1]
    )
    monkeypatch.setattr(membership, 'make_pause_detector', make)
    platform = _Platform()
    members = membership.make_members('a', 'x', 1)
    node = schema.settings.Node(domain='x')
    drain_marks = _drain_marks.make_drain_marks(
        platform, None, node, None, platform, members
    )
    for now, reads in ((0, 1), (0.5, 1), (5, 2), (5.5, 2)):
        times.append(now)
        await drain_marks.wait_until_current()
        assert (platform.scans, platform.refreshes) == (reads, reads)
    assert members.local.incarnation > 1
