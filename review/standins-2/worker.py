"""A worker as a process of its own: answers without a length, which its connection ends. Its port is the first line that it prints.

usage: worker.py ID WORK_MS BYTES BYTES_BEFORE_PAUSE PAUSE_MS
"""

import asyncio
import sys

IDENTIFIER = sys.argv[1]
WORK_S = int(sys.argv[2]) / 1000
BYTES = int(sys.argv[3])
BYTES_BEFORE_PAUSE = int(sys.argv[4])
PAUSE_S = int(sys.argv[5]) / 1000


def body_for(request):
    text = f"{IDENTIFIER} {request} ".encode()
    return text + b"." * (BYTES - len(text) - 4) + b"end\n"


async def serve(reader, writer):
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {line.partition(":")[0].strip().lower(): line.partition(":")[2].strip() for line in head[1:] if ":" in line}
        await reader.readexactly(int(fields.get("content-length", "0")))
        request = fields.get("oleandergate-request-id", "")
        if fields.get("oleandergate-expect-instance", IDENTIFIER) != IDENTIFIER:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\nOleandergate-Request-Id: {request}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
            return
        print(f"runs {request}", flush=True)
        await asyncio.sleep(WORK_S)
        body = body_for(request)
        stamp = f"stamp.{IDENTIFIER}.{request}"
        writer.write(f"HTTP/1.1 200 OK\r\nOleandergate-Request-Id: {request}\r\nOleandergate-Server-Stamp: {stamp}\r\nConnection: close\r\n\r\n".encode())
        writer.write(body[:BYTES_BEFORE_PAUSE])
        await writer.drain()
        print(f"half {request}", flush=True)
        await asyncio.sleep(PAUSE_S)
        writer.write(body[BYTES_BEFORE_PAUSE:])
        await writer.drain()
        print(f"whole {request}", flush=True)
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
