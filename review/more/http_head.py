"""Not a case: one client of the OpenAPI front sends a head without end, in lines of one repeated header. See REPORT.md."""
import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common"))
from standins import *  # noqa: E402,F403

DESCRIPTION = {"openapi": "3.1.0", "info": {"title": "plans", "version": "1"}, "paths": {
    "/v1/plans/{id}": {"get": {"x-stonelb-class": "plan-read", "responses": {}}}}}


async def main():
    with Folder() as folder:
        discovery, counter = Discovery(), Counter()
        await discovery.start()
        await counter.start()
        discovery.add("s-0", f"127.0.0.1:{free_port()}")
        description, front = os.path.join(folder, "description.json"), free_port()
        pathlib.Path(description).write_text(json.dumps(DESCRIPTION))
        openapi = os.path.join(folder, "openapi.json")
        pathlib.Path(openapi).write_text(json.dumps(dict(
            enabled=True, listen=f"127.0.0.1:{front}", description=description, serverPort=free_port())))
        gateway = Gateway(folder, discovery, counter, settings(), openapi=openapi)
        gateway.start()
        await gateway.ready()
        reader, writer = await asyncio.open_connection("127.0.0.1", front)
        writer.write(b"GET /v1/plans/7 HTTP/1.1\r\n")
        sent, began = 0, time.monotonic()
        try:
            while sent < 60_000_000 and time.monotonic() - began < 60:
                line = b"X-A: " + b"x" * 8000 + b"\r\n"
                writer.write(line * 8)
                sent += 8 * len(line)
                await writer.drain()
        except OSError as e:
            print(repr(e))
        await asyncio.sleep(1)
        code = gateway.exit_code()
        print(f"sent {sent} bytes in {time.monotonic() - began:.1f} s, exit code of the gateway: {code}", flush=True)
        gateway.end()
    os._exit(1 if code is not None else 0)


asyncio.run(main())
