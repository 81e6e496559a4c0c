"""Orders at a server that hangs for some seconds: does any begin there after its client has its final answer?"""
import fcntl, os, struct, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

ORDERS, BODY_BYTES, LEFT_MS, HANG_S = 16, 300 << 10, 1400, 4.0
# An attempt may begin up to 0.1 s after its client has closed its connection, and the sockets' 50 ms later.
LIMIT_S = 0.1 + 0.05


async def case(record, sidecars):
    # By id: when the client had its final answer and closed its connection; when the server's machine had the last byte.
    ended, began = {}, {}
    hang = {"over": None}

    async def behave(server, request, writer, number):
        ident = request.get("x-correlation-id")
        began[ident] = time.monotonic()
        record("server", server.name, "has the last byte of", ident, "and runs it")
        await asyncio.sleep(0.03)
        await server.write(writer, answer(200, b"ordered " + ident.encode(), server.load()))

    class HangingServer(Server):
        """Its machine accepts connections and bytes, its process reads nothing for `HANG_S`, and then goes on."""

        async def serve(self, reader, writer):
            if TROUBLE and time.monotonic() < hang["over"]:
                writer.transport.pause_reading()
                await asyncio.sleep(hang["over"] - time.monotonic())
                sock = writer.get_extra_info("socket")
                unread = struct.unpack("i", fcntl.ioctl(sock.fileno(), 0x541B, b"\0" * 4))[0]  # FIONREAD
                record("server", self.name, "goes on: its machine has at most", unread + len(reader._buffer),
                       "bytes of a request of more than", BODY_BYTES)
                writer.transport.resume_reading()
            await super().serve(reader, writer)

    servers = [await HangingServer("s-hangs", behave, record).start()]
    servers += [await Server("s-%d" % i, behave, record).start() for i in range(3)]
    agent = await Agent(servers, record).start()
    sidecar = Sidecar(agent, record, settings(CLASSES))
    sidecars.append(sidecar)
    await sidecar.start()
    hang["over"] = time.monotonic() + HANG_S

    async def order(number):
        ident = "order-%d" % number
        client = await Client(sidecar).connect()
        try:
            status, _ = await client.ask(request("qsl-order", ident, LEFT_MS, b"o" * BODY_BYTES), LEFT_MS / 1000 + 0.55)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
            status = repr(error)
        client.close()
        ended[ident] = time.monotonic()
        record("client", ident, "got", status, "and closed its connection")

    await asyncio.gather(*[order(number) for number in range(ORDERS)])
    await asyncio.sleep(max(0, hang["over"] - time.monotonic()) + 2)
    late = {ident: began[ident] - ended[ident] for ident in began if began[ident] > ended[ident] + LIMIT_S}
    record(len(began), "orders were run,", len(late), "of them began after their clients had their final answer")
    if late:
        return "%d of %d orders began up to %.2f s after their clients had their final answer and closed" % (
            len(late), ORDERS, max(late.values()))


main(case, os.path.dirname(os.path.abspath(__file__)))
