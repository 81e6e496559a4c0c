"""Some answers never end; their requests have no final answer half a second after their time."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig as r  # noqa: E402

SLACK = 0.55  # half a second, and the 50 ms by which time limits are longer on sockets
REQUESTS = 60
WAIT = 14.0


async def endless(server, request, writer):
    """A spoilt answer that never ends: chunks that keep coming until the connection is closed."""
    server.rig.record("spoilt answer", server=server.name, id=request.id)
    await server.write(writer, b"HTTP/1.1 200 OK\r\n" + server.load() + b"Transfer-Encoding: chunked\r\n\r\n")
    while True:
        await server.write(writer, b"400\r\n" + b"~" * 1024 + b"\r\n")
        await asyncio.sleep(0.04)


async def play(rig):
    await rig.start(3, r.settings())
    draw = random.Random(80)

    async def behave(server, request, writer):
        await asyncio.sleep(server.work)
        if r.TROUBLE and draw.random() < 0.2:
            return await endless(server, request, writer)
        await server.write(writer, server.ok(server.body_for(request)))

    for server in rig.servers:
        server.behave = behave
    breaks = []

    async def one(n):
        client, id = r.Client(rig), rig.new_id()
        if n % 3 == 0:
            left, sent = 750, client.request("GET", "/page/a", id, 750, wait=WAIT)
        elif n % 3 == 1:
            left, sent = 1500, client.request("POST", "/order/a", id, 1500, body=b"x" * 100, wait=WAIT)
        else:
            left, sent = 2000, client.request("POST", "/upload/a", id, 2000, key=f"k{id}", body=b"x" * 100, wait=WAIT)
        answer = await sent
        if answer.took > left / 1000 + SLACK:
            end = "its connection ended" if answer.status is None else f"{answer.status} came"
            breaks.append(f"{id}: {end} {answer.took - left / 1000:.2f} s after its time of {left} ms")

    tasks = []
    for n in range(REQUESTS):
        tasks.append(asyncio.create_task(one(n)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    return breaks


r.main(FOLDER, play)
