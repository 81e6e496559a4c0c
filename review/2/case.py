"""Long uploads, while one of four servers hangs: does each get its final answer in time?"""
import fcntl, os, struct, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

UPLOADS, LEFT_MS = 32, 1500
# Long enough that they do not fit into the buffers between the sidecar and a server that does not read.
BYTES = [(3900 + 25 * step) << 10 for step in range(8)]
# The time that the client gives, the half second after which a request is lost, and the sockets' 50 ms.
LIMIT_S = LEFT_MS / 1000 + 0.5 + 0.05
WATCHED_S = 20


class HangingServer(Server):
    """A server that hangs: its machine accepts connections and bytes, its process reads nothing."""

    async def serve(self, reader, writer):
        if TROUBLE:
            writer.transport.pause_reading()
            await asyncio.sleep(100)
        else:
            await super().serve(reader, writer)


async def behave(server, request, writer, number):
    await asyncio.sleep(0.03)
    await server.write(writer, answer(200, b"stored " + request.get("x-correlation-id").encode(), server.load()))


async def all_received(sock):
    """Waits until the sidecar's machine has acknowledged all bytes that were written (SIOCOUTQ)."""
    for _ in range(100):
        if struct.unpack("i", fcntl.ioctl(sock.fileno(), 0x5411, b"\0" * 4))[0] == 0:
            return True
        await asyncio.sleep(0.01)
    return False


async def case(record, sidecars):
    servers = [await HangingServer("s-hangs", behave, record).start()]
    servers += [await Server("s-%d" % i, behave, record).start() for i in range(3)]
    agent = await Agent(servers, record).start()
    sidecar = Sidecar(agent, record, settings(CLASSES))
    sidecars.append(sidecar)
    await sidecar.start()

    async def upload(number):
        ident = "upload-%d" % number
        client = await Client(sidecar).connect()
        client.writer.transport.set_write_buffer_limits(high=0)
        client.writer.write(request("log-upload", ident, LEFT_MS, b"u" * BYTES[number % 8], key="key-" + ident))
        try:
            await asyncio.wait_for(client.writer.drain(), WATCHED_S)
        except asyncio.TimeoutError:
            record("client", ident, "could not write its last byte")
            return None
        if not await all_received(client.writer.get_extra_info("socket")):
            record("client", ident, "the sidecar's machine has not acknowledged the last byte")
            return None
        taken = time.monotonic()
        record("client", ident, "taken:", BYTES[number % 8],
               "bytes, the sidecar's machine has acknowledged the last one, time left", LEFT_MS, "ms")
        try:
            message = await asyncio.wait_for(read_message(client.reader), WATCHED_S)
            what = message.first
        except asyncio.TimeoutError:
            what = "nothing"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            what = repr(error)
        after = time.monotonic() - taken
        record("client", ident, "got", what, "%.3f s after its last byte" % after)
        client.close()
        return after

    times = await asyncio.gather(*[upload(number) for number in range(UPLOADS)])
    taken = [after for after in times if after is not None]
    late = [after for after in taken if after > LIMIT_S]
    record(len(taken), "of", UPLOADS, "uploads taken,", len(late), "without a final answer after", LIMIT_S, "s")
    if len(taken) < UPLOADS / 2:
        raise CannotRun("too few uploads were taken")
    if late:
        return "%d of %d uploads had no final answer %.2f s after their last byte (the longest after %.2f s)" % (
            len(late), len(taken), LIMIT_S, max(late))


main(case, os.path.dirname(os.path.abspath(__file__)))
