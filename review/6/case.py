"""Bad clients: some send half a request and stay, one sends the id of another client's open request, and is served."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import rig as r  # noqa: E402

ROUNDS = 6
HALF_SENDERS = 100  # "connect by hundreds", "half a request"
ORDER = b"one card to the club of the usual client. " * 500  # 21 KB; bodies hold at most 64 KiB
OTHER = b"something else"


async def send_half(rig, done):
    """A bad client that sends half a request and stays until it gets its error or its close."""
    client = r.Client(rig)
    try:
        reader, writer = await client.open()
        writer.write(client.head("POST", "/order/card", rig.new_id(), 1500, None, 65536) + b"x" * 100)
        await writer.drain()
        await asyncio.wait([asyncio.create_task(reader.read()), asyncio.create_task(done.wait())],
                           return_when=asyncio.FIRST_COMPLETED)
        writer.close()
    except OSError:
        pass


async def order(rig, who, id, body, sent=None):
    """Sends an order in one piece and returns its answer."""
    client = r.Client(rig)
    reader, writer = await client.open()
    writer.write(client.head("POST", "/order/card", id, 1500, None, len(body)) + body)
    await writer.drain()
    rig.record("sent in full", who=who, id=id, bytes=len(body))
    if sent:
        sent.set()
    try:
        answer = await asyncio.wait_for(client.read_answer(reader), 5)
    except asyncio.TimeoutError:
        answer = r.Answer()
    rig.record("got", who=who, id=id, status=answer.status, body=answer.body.decode())
    writer.close()
    return answer


async def play(rig):
    await rig.start(3, r.settings(), limits={"cores": 1.0, "memory_mb": 32, "sockets": 512})
    breaks = []
    for _ in range(ROUNDS):
        done, sent, id = asyncio.Event(), asyncio.Event(), rig.new_id()
        halves = []
        if r.TROUBLE:
            halves = [asyncio.create_task(send_half(rig, done)) for _ in range(HALF_SENDERS)]
            await asyncio.sleep(0.3)
        usual = asyncio.create_task(order(rig, "usual client", id, ORDER, sent))
        await sent.wait()
        await asyncio.sleep(0.1)
        if r.TROUBLE and not usual.done():
            # The request of the usual client has been written in full and has no answer: it is open.
            answer = await order(rig, "bad client", id, OTHER)
            if answer.status == 200:
                breaks.append(f"{id}: the bad client that sent the id of an open request is served: {answer.body!r}")
        answer = await usual
        if any(run.body == OTHER for _, run in rig.runs.get(id, [])):
            breaks.append(f"{id}: a server ran the order of the bad client under the id of the usual client, whose own "
                          f"order got {answer.status}")
        if not r.TROUBLE and (answer.status != 200 or rig.runs[id][0][1].body != ORDER):
            breaks.append(f"{id}: answered {answer.status} without the disruption")
        done.set()
        await asyncio.gather(*halves)
        await asyncio.sleep(0.2)
    return breaks


r.main(FOLDER, play)
