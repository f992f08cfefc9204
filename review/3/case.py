"""One bad client sends a value of 60 MB: nested arrays of short strings. The gateway ends, with the requests of others."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from standins import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 33  # requests a second: a third of the 98 of the site
SECONDS = 12
BAD_CLIENT_AT_S = 4
GRACE_MS = 500

# A well-formed RESP2 value of 59.4 MB, arrays in three levels, that is no command.
OUTER, MIDDLE, INNER = 4, 58, 64
TEXT = b"+" + b"x" * 4000 + b"\r\n"


class Case:
    def __init__(self, record):
        self.record = record
        self.random = random.Random(36)
        self.counts = dict(sent=0, served=0, busy=0, failed=0, lost=0)
        self.idle = []
        self.executed = 0

    async def on_command(self, server, words):
        self.executed += 1
        low, high = (0.13, 0.23) if words[0] == b"Q.ASK" else (0.19, 0.35)
        await asyncio.sleep(self.random.uniform(low, high))
        return served(b"value for " + words[2])

    async def request(self, number):
        request_id = f"{0x9b1f000000000000 + number:016x}"
        customer = f"{number % 40 + 1:016x}"
        if self.random.random() < 0.65:
            deadline = 4000
            words = ("Q.ASK", customer, request_id, f"c=plan-read,t=red,d={deadline},units=1,spread=3,first=0")
        else:
            deadline = 7500
            words = ("Q.DO", customer, request_id, f"c=session-log,t=red,d={deadline},units=1,spread=3,first=0",
                     "a finished session")
        self.counts["sent"] += 1
        began = now_ms()
        try:
            connection = self.idle.pop() if self.idle else await asyncio.open_connection("127.0.0.1", self.gateway.port)
            reader, writer = connection
            writer.write(command(*words))
            answer = await asyncio.wait_for(read_value(reader), (deadline + GRACE_MS) / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.counts["lost"] += 1
            self.record.line(f"{request_id} {words[0]} sent at {began:.1f} ms got no answer: {e!r}")
            return
        self.idle.append(connection)
        if isinstance(answer, bytes):
            self.counts["served"] += 1
        elif isinstance(answer, RespError) and answer.startswith("BUSY"):
            self.counts["busy"] += 1
        else:
            self.counts["failed"] += 1

    async def bad_client(self):
        """Sends at full speed and reads what it is sent."""
        sent, began = 0, time.monotonic()
        self.record.line("the bad client connects and begins its value")
        outcome = "nothing"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.gateway.port)
            answer = asyncio.create_task(reader.read(200))
            answer.add_done_callback(lambda task: task.cancelled() or task.exception())
            data = b"*%d\r\n" % OUTER
            for _ in range(OUTER):
                data += b"*%d\r\n" % MIDDLE
                for _ in range(MIDDLE):
                    data += b"*%d\r\n" % INNER + TEXT * INNER
                    writer.write(data)
                    sent += len(data)
                    data = b""
                    await writer.drain()
                    if answer.done():
                        break
            outcome = repr(await asyncio.wait_for(answer, 6))
            writer.close()
        except (OSError, asyncio.TimeoutError) as e:
            outcome = repr(e)
        self.record.line(f"the bad client has sent {sent} bytes in {time.monotonic() - began:.2f} s and got {outcome}")

    async def play(self, folder):
        discovery, counter = Discovery(), Counter()
        await discovery.start()
        await counter.start()
        for i in range(10):
            server = PlanServer(f"s-{i}", self.on_command)
            await server.start()
            discovery.add(server.name, server.address)
        self.gateway = Gateway(folder, discovery, counter, settings(), memory_mb=192)
        self.gateway.start()
        try:
            if not await self.gateway.ready():
                self.record.line("the gateway did not become ready")
                return 2
            return await self.traffic()
        finally:
            self.gateway.end()
            self.record.line("log of the gateway: " + self.gateway.log_text())

    async def traffic(self):
        tasks, began, bad = [], time.monotonic(), None
        while time.monotonic() - began < SECONDS and self.gateway.exit_code() is None:
            tasks.append(asyncio.create_task(self.request(len(tasks))))
            if TROUBLE and not bad and time.monotonic() - began > BAD_CLIENT_AT_S:
                bad = asyncio.create_task(self.bad_client())
            await asyncio.sleep(max(0, began + len(tasks) / RATE - time.monotonic()))
        ended_after = time.monotonic() - began
        await asyncio.gather(*tasks, *([bad] if bad else []))
        code = self.gateway.exit_code()
        self.record.line(f"usual clients: {self.counts}, {self.executed} attempts came to plan servers")
        if code is not None:
            self.record.line(f"the gateway ended by itself after {ended_after:.1f} s with exit code {code}")
        print(f"usual clients: {self.counts}, exit code of the gateway: {code}")
        return 1 if code is not None or self.counts["lost"] else 0


async def main():
    record = Record(HERE)
    with Folder() as folder:
        try:
            result = await asyncio.wait_for(Case(record).play(folder), 110)
        except (asyncio.TimeoutError, OSError) as e:
            record.line(f"could not run: {e!r}")
            result = 2
    record.line(f"exit code {result}")
    record.close()
    sys.stdout.flush()
    os._exit(result)


asyncio.run(main())
