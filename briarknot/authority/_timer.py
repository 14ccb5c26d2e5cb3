"""Timer that ends the process when its lease expires."""

import signal
import time

# A pause of the process between reading the clock and setting the timer would
# delay the end by as much, so the timer is set again when that took longer than
# this. 20 ms is well below the smallest margin of a lease (50 ms).
_MAX_ARM_TIME_S = 0.02


class ProcessTimer:
    """Ends the process by SIGALRM, whose default action can't be delayed.

    A process that is paused past the deadline ends when it resumes, before
    its next instruction.
    """

    def arm(self, deadline_s: float) -> None:
        """Sets the time at which the process ends; replaces an earlier one.

        :param deadline_s: monotonic time in seconds.
        """
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGALRM,))
        while True:
            before_s = time.monotonic()
            if before_s >= deadline_s:
                # A timer of 0 would disarm it.
                signal.raise_signal(signal.SIGALRM)
            signal.setitimer(signal.ITIMER_REAL, deadline_s - before_s)
            if time.monotonic() - before_s < _MAX_ARM_TIME_S:
                return

    def disarm(self) -> None:
        """Cancels the timer; to be called only when no lease is held."""
        signal.setitimer(signal.ITIMER_REAL, 0)
