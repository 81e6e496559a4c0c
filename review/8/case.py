"""Some answers come with a length that is too short, in pieces; a client is served the first piece as the answer."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig as r  # noqa: E402

PIECE = 4096
REQUESTS = 200


async def play(rig):
    await rig.start(3, r.settings())
    draw = random.Random(80)

    async def behave(server, request, writer):
        await asyncio.sleep(server.work)
        body = (f"answer to {request.id} ".encode() * 1000)[:3 * PIECE]
        pieces = [body[i:i + PIECE] for i in range(0, len(body), PIECE)]
        length = len(body)
        if r.TROUBLE and draw.random() < 0.1:
            length = draw.choice([0, PIECE, 2 * PIECE])
            rig.record("spoilt answer", server=server.name, id=request.id, length=length, body=len(body))
        await server.write(writer, server.ok(b"", length), *pieces, pause=0.002)

    for server in rig.servers:
        server.behave = behave
    clients = [r.Client(rig) for _ in range(4)]
    wrong = []

    async def run(client, count):
        for n in range(count):
            id = rig.new_id()
            kind = n % 3
            if kind == 0:
                answer = await client.request("GET", "/page/a", id, 750)
            elif kind == 1:
                answer = await client.request("POST", "/order/a", id, 1500, body=b"x" * 100)
            else:
                answer = await client.request("POST", "/upload/a", id, 2000, key=f"k{id}", body=b"x" * 200)
            whole = (f"answer to {id} ".encode() * 1000)[:3 * PIECE]
            if answer.status == 200 and answer.body != whole:
                wrong.append(f"{id}: served {len(answer.body)} bytes of an answer of {len(whole)}, as if whole")
            await asyncio.sleep(0.02)

    await asyncio.gather(*(run(c, REQUESTS // len(clients)) for c in clients))
    return wrong


r.main(FOLDER, play)
