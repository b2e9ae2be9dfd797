"""Lives of host processes, and what explains a request without an answer."""
import asyncio
import signal
import time


class Life:
    """One process of a host: its signals with their times, and its end."""

    def __init__(self, host, process, log):
        self.host = host
        self.process = process
        self.log = log
        self.started_at = time.monotonic()
        self.signals = []
        self.ended_at = None
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self):
        await self.process.wait()
        self.ended_at = time.monotonic()

    def send(self, sig):
        # Noted first, as a caller may see the effect before this returns.
        self.signals.append((time.monotonic(), sig))
        self.process.send_signal(sig)

    def sent_before(self, sig, at):
        return any(s == sig and t <= at for t, s in self.signals)

    def logged(self, request_id):
        """Counts the lines of the host's log that name a request."""
        with open(self.log, errors="replace") as log:
            return sum(request_id in line for line in log)


class Lost:
    """A request without an answer, and the facts that decide the cause."""

    def __init__(self, life, request_id, sent_at, is_kept, error):
        self.life = life
        self.request_id = request_id
        self.sent_at = sent_at
        self.is_kept = is_kept
        self.error = error
        self.lost_at = time.monotonic()

    def is_killed(self):
        """Returns whether the end of a killed process explains the loss.

        A connection belongs to one process. It ends with that process, before
        the soak is told of the end; a loss before the signal is a fault.
        """
        return self.life.sent_before(signal.SIGKILL, self.lost_at) and \
            self.life.process.returncode == -signal.SIGKILL

    def describe(self):
        life = self.life
        signals = " ".join(f"{signal.Signals(s).name}@{t - self.sent_at:+.4f}"
                           for t, s in life.signals)
        ended = "runs" if life.ended_at is None else \
            f"{life.process.returncode}@{life.ended_at - self.sent_at:+.4f}"
        return (f"{self.request_id}: no answer from host {life.host} "
                f"(pid {life.process.pid}, "
                f"{'kept' if self.is_kept else 'new'} connection, "
                f"{type(self.error).__name__}"
                f"@{self.lost_at - self.sent_at:+.4f}, "
                f"started@{life.started_at - self.sent_at:+.4f}, "
                f"signals [{signals}], ended {ended}, "
                f"{life.logged(self.request_id)} log lines)")
