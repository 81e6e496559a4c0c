"""Spoilt answers that never end: does each request get its final answer in time?"""
import os, random, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

REQUESTS, LEFT_MS = 40, 700
# The time that the client gives, the half second after which a request is lost, and the sockets' 50 ms.
LIMIT_S = LEFT_MS / 1000 + 0.5 + 0.05
WATCHED_S = 20
SPOILT_SHARE = 0.1


async def case(record, sidecars):
    random.seed(7)

    async def behave(server, request, writer, number):
        await asyncio.sleep(0.03)
        ident = request.get("x-correlation-id")
        if TROUBLE and random.random() < SPOILT_SHARE:
            record("server", server.name, "answers", ident, "with a body that never ends")
            head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n" % server.load()
            await server.write(writer, head.encode())
            for piece in range(10 * WATCHED_S + 50):
                size = 80000 if piece == 0 else 20000
                await server.write(writer, b"%x\r\n" % size + b"?" * size + b"\r\n")
                await asyncio.sleep(0.1)
            return False
        await server.write(writer, answer(200, b"done " + ident.encode(), server.load()))

    servers = [await Server("s-%d" % i, behave, record).start() for i in range(4)]
    agent = await Agent(servers, record).start()
    sidecar = Sidecar(agent, record, settings(CLASSES))
    sidecars.append(sidecar)
    await sidecar.start()

    async def ask(number):
        await asyncio.sleep(0.05 * number)
        class_name = ["call-lookup", "log-page", "qsl-order"][number % 3]
        ident = "request-%d" % number
        client = await Client(sidecar).connect()
        sent = time.monotonic()
        client.writer.write(request(class_name, ident, LEFT_MS))
        record("client sends", ident, class_name, "time left", LEFT_MS, "ms")
        received, what = 0, "no end"
        try:
            first, headers = await asyncio.wait_for(read_head(client.reader), WATCHED_S)
            what = first
            if "chunked" in headers.get("transfer-encoding", ""):
                what = "no end"
                while time.monotonic() < sent + WATCHED_S:
                    # The last chunk, a close or a reset would be the end.
                    piece = await asyncio.wait_for(client.reader.read(65536), WATCHED_S)
                    received += len(piece)
                    if not piece:
                        what = "a close"
                        break
                    if piece.endswith(b"0\r\n\r\n"):
                        what = "the last chunk"
                        break
            else:
                await client.reader.readexactly(int(headers["content-length"]))
        except asyncio.TimeoutError:
            pass
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            what = repr(error)
        after = time.monotonic() - sent
        record("client", ident, "got", what, "%.3f s after its request," % after, received, "bytes of a streamed body")
        client.close()
        return after, what

    results = await asyncio.gather(*[ask(number) for number in range(REQUESTS)])
    late = [(after, what) for after, what in results if after > LIMIT_S]
    endless = sum(what == "no end" for _, what in late)
    record(len(late), "of", REQUESTS, "requests had no final answer after", LIMIT_S, "s,", endless, "after", WATCHED_S)
    if late:
        return "%d of %d requests had no final answer %.2f s after they were sent, %d of them none after %d s" % (
            len(late), REQUESTS, LIMIT_S, endless, WATCHED_S)


main(case, os.path.dirname(os.path.abspath(__file__)))
