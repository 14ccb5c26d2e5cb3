"""Counts of the requests of client accounts that began to run, by window.

A process sends its counts to relays, which add up those of a failure domain, and
relays send these sums to collectors. All counts are cumulative, and a receiver
acknowledges the latest change that it has.
"""

import collections
import itertools
import typing

import attrs

#: Windows that are kept while none is fixed, because the store is away.
_MAX_WINDOWS = 240
#: Time after its last report from which a process doesn't count as covered. It
#: exceeds two of the periods in which a process reports without a change.
_MAX_SILENCE_S = 5.0

#: Window and account.
Key = tuple[int, str]
CountsByKey = dict[Key, int]


@attrs.frozen
class Changes:
    """Counts that have changed.

    :param after: number of the change after which all are included.
    :param sequence: number of the latest change.
    :param counts: the counts.
    """

    after: int
    sequence: int
    counts: CountsByKey


@attrs.frozen
class Source:
    """Where counts come from.

    :param host: host of the process that sends them.
    :param born_ms: its start in Unix milliseconds.
    :param domain: failure domain that they belong to.
    """

    host: str
    born_ms: int
    domain: str


@attrs.define(eq=False)
class ChangeLog:
    """Counts in the order in which they changed.

    :param sequence: number of the latest change.
    """

    sequence: int = 0
    _entries: dict[Key, tuple[int, int]] = attrs.field(factory=dict)

    def add(self, key: Key, change: int) -> None:
        """Changes a count.

        :param key: window and account.
        :param change: number to add, which may be negative.
        """
        self.sequence += 1
        count, _ = self._entries.pop(key, (0, 0))
        self._entries[key] = (count + change, self.sequence)

    def list_changes(self, after: int, limit: int) -> typing.Iterator[Changes]:
        """Lists the changes after one, in parts.

        :param after: number of that change.
        :param limit: largest number of counts in a part.
        :returns: at least one part, which may have no counts.
        """
        recent = list(
            itertools.takewhile(
                lambda entry: entry[1][1] > after,
                reversed(self._entries.items()),
            )
        )
        recent.reverse()
        while len(recent) > limit:
            part, recent = recent[:limit], recent[limit:]
            _, (_, last) = part[-1]
            yield Changes(after, last, _get_counts(part))
            after = last
        yield Changes(after, self.sequence, _get_counts(recent))

    def list_windows(self) -> set[int]:
        """Lists the windows with counts."""
        return {window for window, _ in self._entries}

    def forget(self, until: int) -> None:
        """Forgets windows.

        :param until: the last window to forget.
        """
        self._entries = {
            key: entry for key, entry in self._entries.items() if key[0] > until
        }


@attrs.define(eq=False)
class _Feed:
    """Counts as far as they have been received from a source."""

    sequence: int = 0
    windows: dict[int, dict[str, int]] = attrs.field(factory=dict)

    def apply(self, changes: Changes) -> dict[Key, int]:
        """Applies changes, unless some before them are missing.

        :param changes: the changes.
        :returns: how much each count has changed.
        """
        if changes.after > self.sequence or changes.sequence <= self.sequence:
            return {}
        self.sequence = changes.sequence
        differences = {}
        for key, count in changes.counts.items():
            window, account = key
            accounts = self.windows.setdefault(window, {})
            differences[key] = count - accounts.get(account, 0)
            accounts[account] = count
        return differences

    def forget(self, until: int) -> None:
        """Forgets windows.

        :param until: the last window to forget.
        """
        self.windows = {
            window: accounts
            for window, accounts in self.windows.items()
            if window > until
        }


@attrs.define(eq=False)
class Counts:
    """Counts of this process, and those that it has received.

    :param local: counts of this process.
    :param sums: sums of the reports that it has received, by failure domain.
    """

    local: ChangeLog = attrs.field(factory=ChangeLog)
    sums: dict[str, ChangeLog] = attrs.field(factory=dict)
    _reports: dict[Source, _Feed] = attrs.field(factory=dict)
    _received: dict[Source, _Feed] = attrs.field(factory=dict)
    _forgotten: int = -1
    _heard_s: dict[str, dict[str, float]] = attrs.field(factory=dict)
    _covered_s: dict[str, float] = attrs.field(factory=dict)

    def count(self, account: str, window: int, change: int = 1) -> None:
        """Counts a request of this process.

        :param account: its account.
        :param window: the window in which it began to run.
        :param change: -1 withdraws one that did not run.
        """
        if window > self._forgotten:
            self.local.add((window, account), change)

    def apply_report(self, source: Source, changes: Changes, now: float) -> int:
        """Applies counts of a process, and adds them up.

        :param source: the process.
        :param changes: its counts.
        :param now: time in seconds.
        :returns: number of the latest change that is known.
        """
        hosts = self._heard_s.setdefault(source.domain, {})
        hosts[source.host] = now
        feed = self._reports.setdefault(source, _Feed())
        sums = self.sums.setdefault(source.domain, ChangeLog())
        for key, difference in feed.apply(changes).items():
            if key[0] > self._forgotten:
                sums.add(key, difference)
        return feed.sequence

    def apply_sums(
        self,
        source: Source,
        changes: Changes,
        hosts: typing.Iterable[str],
        now: float,
    ) -> int:
        """Applies the sums of a domain.

        :param source: the relay, and the domain.
        :param changes: the sums.
        :param hosts: processes that have reported to the relay.
        :param now: time in seconds.
        :returns: number of the latest change that is known.
        """
        self._covered_s.update(dict.fromkeys(hosts, now))
        feed = self._received.setdefault(source, _Feed())
        feed.apply(changes)
        return feed.sequence

    def list_reporters(self, domain: str, now: float) -> list[str]:
        """Lists the processes of a domain that report to this one.

        :param domain: the failure domain.
        :param now: time in seconds.
        """
        return [
            host
            for host, heard_s in self._heard_s.get(domain, {}).items()
            if now - heard_s < _MAX_SILENCE_S
        ]

    def count_covered(self, now: float) -> int:
        """Returns the number of processes whose counts this one receives.

        :param now: time in seconds.
        """
        return sum(
            now - seen_s < _MAX_SILENCE_S for seen_s in self._covered_s.values()
        )

    def compute(self, window: int) -> dict[str, int]:
        """Returns the requests of each account in a window.

        Relays of a domain repeat each other, so that the largest sum is the most
        complete one.

        :param window: the window.
        """
        largest: dict[tuple[str, str], int] = {}
        for source, feed in self._received.items():
            for account, count in feed.windows.get(window, {}).items():
                key = (source.domain, account)
                largest[key] = max(count, largest.get(key, 0))
        totals: collections.Counter[str] = collections.Counter()
        for (_, account), largest_count in sorted(largest.items()):
            totals[account] += largest_count
        return dict(+totals)

    def find_first_window(self, since: int) -> int | None:
        """Returns the earliest window in which requests were counted.

        :param since: earlier windows are passed over.
        :returns: the window; None if nothing was counted.
        """
        windows = self.local.list_windows()
        for feed in self._received.values():
            windows.update(feed.windows)
        return min((one for one in windows if one >= since), default=None)

    def forget(self, fixed: int, current: int) -> None:
        """Forgets windows that are fixed, and those that are too old.

        :param fixed: the latest window that is fixed.
        :param current: the present window.
        """
        until = max(fixed, current - _MAX_WINDOWS)
        if until <= self._forgotten:
            return
        self._forgotten = until
        for log in (self.local, *self.sums.values()):
            log.forget(until)
        for feeds in (self._reports, self._received):
            for feed in feeds.values():
                feed.forget(until)
            _drop_ended(feeds)


def _get_counts(entries: list[tuple[Key, tuple[int, int]]]) -> CountsByKey:
    return {key: count for key, (count, _) in entries}


def _drop_ended(feeds: dict[Source, _Feed]) -> None:
    """Removes empty feeds of processes that have started again since."""
    latest: dict[tuple[str, str], int] = {}
    for source in feeds:
        key = (source.host, source.domain)
        latest[key] = max(source.born_ms, latest.get(key, 0))
    for source, feed in list(feeds.items()):
        is_latest = source.born_ms == latest[source.host, source.domain]
        if not (is_latest or feed.windows):
            del feeds[source]
