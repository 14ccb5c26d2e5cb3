"""Timer that ends the process when its authority ends."""

import signal
import time

# Between the reading of the clock and the start of the timer the process may
# be paused, which would end it too late by as much. The timer is then set
# again. 20 ms is far below the smallest margin of a lease (50 ms).
_LONGEST_STEP_S = 0.02


class ProcessTimer:
    """Ends the process by SIGALRM, whose default action can't be delayed.

    A process that was paused past the deadline ends as it resumes, before its
    next instruction.
    """

    def arm(self, deadline_s: float) -> None:
        """Sets the time of the process's end, in place of an earlier one.

        :param deadline_s: monotonic time in seconds.
        """
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGALRM,))
        while True:
            before_s = time.monotonic()
            if before_s >= deadline_s:
                # A timer of 0 would be switched off.
                signal.raise_signal(signal.SIGALRM)
            signal.setitimer(signal.ITIMER_REAL, deadline_s - before_s)
            if time.monotonic() - before_s < _LONGEST_STEP_S:
                return

    def disarm(self) -> None:
        """Lets the process go on; call it only without any authority."""
        signal.setitimer(signal.ITIMER_REAL, 0)
