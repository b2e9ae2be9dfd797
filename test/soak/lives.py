"""Lives of host processes, and what explains a request without an answer."""
import asyncio
import os
import signal
import socket
import struct
import time


ANY_HOST = -1
NETLINK_SOCK_DIAG = 4


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

    def owns(self, inode):
        """Returns whether the process holds a socket."""
        folder = f"/proc/{self.process.pid}/fd"
        try:
            return any(os.readlink(f"{folder}/{fd}") == f"socket:[{inode}]"
                       for fd in os.listdir(folder))
        except OSError:
            return False

    def logged(self, request_id):
        """Counts the lines of the host's log that name a request."""
        with open(self.log, errors="replace") as log:
            return sum(request_id in line for line in log)


def find_socket(near, far):
    """Returns the inode of the IPv4 TCP socket from near to far, or None.

    Asks sock_diag(7), as /proc/net/tcp took 0.26 s with 131,000 sockets in
    TIME_WAIT.
    """
    by_family, states, no_cookie = 20, 0xffffffff, 0xffffffff
    query = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0,
                        states)
    query += struct.pack("!HH", near[1], far[1])
    query += socket.inet_aton(near[0]).ljust(16, b"\0")
    query += socket.inet_aton(far[0]).ljust(16, b"\0")
    query += struct.pack("=III", 0, no_cookie, no_cookie)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) \
            as diag:
        diag.send(struct.pack("=IHHII", 16 + len(query), by_family, 1, 0, 0) +
                  query)
        reply = diag.recv(4096)
    if struct.unpack_from("=H", reply, 4)[0] != by_family:
        return None
    return struct.unpack_from("=I", reply, 84)[0]


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


class Load:
    """Times in which the soak or a host did not get the processor.

    Time bounds can't be judged then: requests arrive in one burst, and a host
    that was not scheduled has not learned of a change.
    """

    STEP_S = 0.2
    # Longest wait for the processor in which bounds still count.
    WAIT_MAX_S = 0.3

    def __init__(self, soak):
        self.soak = soak
        self.short = []

    def was_short(self, start, end, host):
        """Returns whether the soak or the host waited between two times.

        With ANY_HOST, whether any host did.
        """
        return any((host is ANY_HOST or t[2] in (None, host)) and
                   t[0] < end and t[1] > start for t in self.short)

    def waited(self, life):
        """Returns for how long each thread of a host has waited to run."""
        waits = {}
        folder = f"/proc/{life.process.pid}/task"
        try:
            for thread in os.listdir(folder):
                with open(f"{folder}/{thread}/schedstat") as figures:
                    waits[thread] = int(figures.read().split()[1]) / 1e9
        except (OSError, IndexError):
            pass
        return waits

    async def watch(self):
        last = time.monotonic()
        before = {}
        while True:
            await asyncio.sleep(self.STEP_S)
            now = time.monotonic()
            if now - last > self.STEP_S + self.WAIT_MAX_S:
                self.short.append((last, now, None))
            for life in self.soak.lives.values():
                waits = self.waited(life)
                old = before.get(life, {})
                if any(wait - old.get(thread, 0) > self.WAIT_MAX_S
                       for thread, wait in waits.items()):
                    self.short.append((last, now, life.host))
                before[life] = waits
            last = now
