"""Not a case: ordinary traffic of which many requests and answers are long ends the gateway. See REPORT.md."""
import asyncio
import os
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from standins import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 140  # requests a second
SECONDS = 30
LONG_SHARE = 0.75 if TROUBLE else 0.0
LONG_BYTES = 64 * 1024  # "a value holds at most 64 KiB"
SHORT_BYTES = 200
READ_SHARE = 0.65
CUSTOMERS = 60  # of the plan red: 8.1 units a second each, 486 together
GRACE_MS = 500  # "up to half a second after its time it only earns nothing"


class Case:
    def __init__(self, record):
        self.record = record
        self.random = random.Random(36)
        self.counts = dict(sent=0, served=0, busy=0, failed=0, lost=0)
        self.lost = []
        self.idle = []  # connections of the clients without an open request
        self.executed = 0
        self.wrong = 0

    def size(self):
        return LONG_BYTES if self.random.random() < LONG_SHARE else SHORT_BYTES

    async def on_command(self, server, words):
        self.executed += 1
        # mean work of the classes: 130 to 230 ms and 190 to 350 ms
        low, high = (0.13, 0.23) if words[0] == b"Q.ASK" else (0.19, 0.35)
        await asyncio.sleep(self.random.uniform(low, high))
        return served(words[2].ljust(self.size(), b"."))

    async def request(self, number):
        request_id = f"{0x9b1f000000000000 + number:016x}"
        customer = f"{number % CUSTOMERS + 1:016x}"
        if self.random.random() < READ_SHARE:
            deadline = 4000
            words = ("Q.ASK", customer, request_id, f"c=plan-read,t=red,d={deadline},units=1,spread=3,first=0")
        else:
            deadline = 7500
            words = ("Q.DO", customer, request_id, f"c=session-log,t=red,d={deadline},units=1,spread=3,first=0",
                     b"b" * self.size())
        self.counts["sent"] += 1
        began = now_ms()
        try:
            connection = self.idle.pop() if self.idle else await asyncio.open_connection(
                "127.0.0.1", self.gateway.port, limit=1 << 20)
            reader, writer = connection
            writer.write(command(*words))
            await writer.drain()
            answer = await asyncio.wait_for(read_value(reader), (deadline + GRACE_MS) / 1000)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.counts["lost"] += 1
            self.lost.append(request_id)
            self.record.line(f"{request_id} {words[0]} sent at {began:.1f} ms got no answer: {e!r}")
            return
        self.idle.append(connection)
        if isinstance(answer, bytes):
            self.counts["served"] += 1
            self.wrong += not answer.startswith(request_id.encode())
        elif isinstance(answer, RespError) and answer.startswith("BUSY"):
            self.counts["busy"] += 1
        else:
            self.counts["failed"] += 1

    async def play(self, folder):
        discovery, counter = Discovery(), Counter()
        await discovery.start()
        await counter.start()
        for i in range(14):
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
        self.record.line(f"clients send {RATE} requests a second, {LONG_SHARE:.0%} of the values are {LONG_BYTES} bytes")
        tasks, began, peak, exited_at = [], time.monotonic(), 0, None
        while time.monotonic() - began < SECONDS and self.gateway.exit_code() is None:
            tasks.append(asyncio.create_task(self.request(len(tasks))))
            await asyncio.sleep(max(0, began + len(tasks) / RATE - time.monotonic()))
            if len(tasks) % RATE == 0:
                peak = max(peak, self.resident_kb())
                self.record.line(f"{self.counts}, {self.executed} attempts came to plan servers, "
                                 f"peak memory of the gateway {peak} kB")
        code = self.gateway.exit_code()
        if code is not None:
            exited_at = time.monotonic() - began
        await asyncio.gather(*tasks)
        self.record.line(f"at the end: {self.counts}, {self.executed} attempts, {self.wrong} foreign values, "
                         f"peak memory {peak} kB of 192 MB")
        if code is not None:
            self.record.line(f"the gateway ended by itself after {exited_at:.1f} s with exit code {code}")
        print(f"{self.counts}, exit code of the gateway: {code}, peak memory {peak} kB")
        return 1 if code is not None or self.counts["lost"] or self.wrong else 0

    def resident_kb(self):
        try:
            for line in open(f"/proc/{self.gateway.process.pid}/status"):
                if line.startswith("VmHWM"):
                    return int(line.split()[1])
        except OSError:
            pass
        return 0


async def main():
    record = Record(tempfile.gettempdir())
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
