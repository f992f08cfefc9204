"""Not a case: plan servers send a second copy of some answers, LATE ms after the first. See REPORT.md.

A second copy is left out when another request has come on the connection meanwhile.
Usage: late_second_answer.py [LATE] [SECONDS]; exits with 1 if a client got the value of another request.
"""
import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from standins import *  # noqa: E402,F403

LATE_MS = float(sys.argv[1]) if len(sys.argv) > 1 else 10.5
SECONDS = float(sys.argv[2]) if len(sys.argv) > 2 else 20
RATE = 100
SECOND_SHARE = 0.1
counts = dict(second_copies=0, left_out=0, served=0, foreign=0, other=0)
rng = random.Random(36)


class Server(PlanServer):
    async def serve(self, reader, writer):
        following = asyncio.ensure_future(read_value(reader))
        while True:
            words = await following
            following = asyncio.ensure_future(read_value(reader))
            await asyncio.sleep(0.05)
            answer = served(b"value for " + words[2])
            writer.write(answer)
            if rng.random() < SECOND_SHARE:
                await asyncio.sleep(LATE_MS / 1000)
                if following.done():
                    counts["left_out"] += 1
                else:
                    counts["second_copies"] += 1
                    writer.write(answer)


async def main():
    with Folder() as folder:
        discovery, counter = Discovery(), Counter()
        await discovery.start()
        await counter.start()
        for i in range(4):
            server = Server(f"s-{i}", None)
            await server.start()
            discovery.add(server.name, server.address)
        gateway = Gateway(folder, discovery, counter, settings())
        gateway.start()
        await gateway.ready()
        idle = []

        async def request(number):
            reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", gateway.port)
            request_id = f"{number:016x}"
            writer.write(command("Q.ASK", f"{number % 60:016x}", request_id,
                                 "c=plan-read,t=red,d=4000,units=1,spread=3,first=0"))
            answer = await read_value(reader)
            idle.append((reader, writer))
            if isinstance(answer, bytes):
                counts["served"] += 1
                counts["foreign"] += answer != b"value for " + request_id.encode()
            else:
                counts["other"] += 1

        began, tasks = time.monotonic(), []
        while time.monotonic() - began < SECONDS:
            tasks.append(asyncio.create_task(request(len(tasks))))
            await asyncio.sleep(max(0, began + len(tasks) / RATE - time.monotonic()))
        await asyncio.wait(tasks, timeout=5)
        gateway.end()
    print(f"second copies {LATE_MS} ms late: {counts}", flush=True)
    os._exit(1 if counts["foreign"] else 0)


asyncio.run(main())
