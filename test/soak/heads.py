"""Callers with long heads, and callers that send heads in parts."""
import asyncio
import random
import signal
import time

from lives import Lost
from standins import read_message

# The head of a request stays within the limit of the configuration.
LONG_HEAD_MAX = 14000
LONG_SHARE = 0.1
# Parts are sent well within the header timeout of the configuration.
PART_PAUSE_MAX_S = 1.5
PAUSE_MAX_S = 0.5
ANSWER_MAX_S = 30
CONNECT_S = 1


class Heads:
    def __init__(self, soak):
        self.soak = soak
        # Not the soak's own, so that known seeds stay what they were.
        self.random = random.Random(f"heads {soak.args.seed}")

    def fill(self):
        """Returns headers that fill a head in one of several shapes."""
        size = self.random.randrange(LONG_HEAD_MAX)
        part = self.random.choice(["c=v; ", f"c={'v' * 60}; ", "v", None])
        if part:
            return [("Cookie", (part * (size // len(part))).strip("; "))]
        return [("Name", "v")] * (size // len("Name: v\r\n"))

    def lengthen(self, call):
        """Gives some requests a long head."""
        if self.random.random() < LONG_SHARE:
            call.headers += self.fill()
            self.soak.count("long_head")

    def build(self, i, request_id):
        lines = ["GET /g/x HTTP/1.1", "Host: soak.example",
                 f"Nutmegpick-Request-Id: {request_id}"]
        lines += [f"{k}: {v}" for k, v in self.fill()]
        return "\r\n".join(lines + ["", ""]).encode()

    async def send_parts(self, writer, text, is_finished):
        cut = self.random.randrange(1, len(text))
        writer.write(text[:cut])
        await writer.drain()
        if is_finished:
            await asyncio.sleep(self.random.uniform(0, PART_PAUSE_MAX_S))
            writer.write(text[cut:])

    async def ask(self, n):
        """Sends a head in parts, or only the first part, and waits."""
        soak = self.soak
        i = self.random.randrange(soak.args.hosts)
        is_finished = self.random.random() < 0.5
        request_id = f"{i}-head-{n:x}"
        reader, writer = await asyncio.wait_for(asyncio.open_connection(
            soak.host_address(i), soak.args.port), CONNECT_S)
        life = soak.lives[i]
        sent_at = time.monotonic()
        try:
            await self.send_parts(writer, self.build(i, request_id),
                                  is_finished)
            reply = await asyncio.wait_for(read_message(reader), ANSWER_MAX_S)
        except (OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as error:
            lost = Lost(life, request_id, sent_at, False, error)
            # A stop may end before the rest of a head.
            if not is_finished and \
                    life.sent_before(signal.SIGTERM, lost.lost_at):
                soak.count("half_head_closed")
                return
            await soak.note_no_answer(lost)
            return
        finally:
            writer.close()
        if not is_finished and reply.status not in (408, 503):
            soak.fail(f"{request_id}: {reply.status} for half a head")
        kind = "head" if is_finished else "half_head"
        soak.count(f"{kind}_{reply.status}")

    async def run(self):
        n = 0
        while not self.soak.ended:
            n += 1
            try:
                await self.ask(n)
            except (OSError, asyncio.TimeoutError):
                self.soak.count("head_no_connection")
            await asyncio.sleep(self.random.uniform(0, PAUSE_MAX_S))
