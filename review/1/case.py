"""Hundreds of requests at once: does the sidecar stay under its memory limit?"""
import os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standin import *

MEMORY_MB, SOCKETS = int(os.environ.get("MEMORY_MB", 64)), 1024
# A third of the descriptors at most is held for requests.
AT_ONCE = int(os.environ.get("AT_ONCE", 330))
BODY_BYTES, SECONDS, CALM_SECONDS = 64000, 8, 4


async def behave(server, request, writer, number):
    await asyncio.sleep(0.1)
    await server.write(writer, answer(200, b"a" * BODY_BYTES, server.load()))


async def case(record, sidecars):
    servers = [await Server("s-%d" % i, behave, record).start() for i in range(6)]
    agent = await Agent(servers, record).start()
    sidecar = Sidecar(agent, record, settings(CLASSES),
                      limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    sidecars.append(sidecar)
    await sidecar.start()
    killed, peak, answers = [], 0.0, {}

    async def platform():
        """Kills the sidecar when it is over its memory limit, as the platform does."""
        nonlocal peak
        while sidecar.process.poll() is None:
            used = sidecar.memory_mb()
            if used > peak + 0.5:
                peak = used
                record("the sidecar uses %.1f MB of %d" % (used, MEMORY_MB))
            if used > MEMORY_MB:
                killed.append(used)
                record("the platform kills the sidecar: %.1f MB, over memory_mb" % used)
                sidecar.process.kill()
                return
            await asyncio.sleep(0.02)

    async def client(number, until, pause):
        connection, sequence = None, 0
        while time.monotonic() < until and not killed:
            ident = "c%d-%d" % (number, sequence)
            sequence += 1
            try:
                connection = connection or await Client(sidecar).connect()
                data = request("log-upload", ident, 1900, b"z" * BODY_BYTES, key="key-" + ident)
                status, _ = await connection.ask(data, 3)
                answers[status] = answers.get(status, 0) + 1
                if connection.writer.is_closing():
                    connection = None
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                answers[type(error).__name__] = answers.get(type(error).__name__, 0) + 1
                if connection:
                    connection.close()
                connection = None
            await asyncio.sleep(pause)
        if connection:
            connection.close()

    watching = asyncio.ensure_future(platform())
    start = time.monotonic()
    usual = [client(number, start + CALM_SECONDS + SECONDS, 0.2) for number in range(20)]
    usual = [asyncio.ensure_future(one) for one in usual]
    await asyncio.sleep(CALM_SECONDS)
    record("after %d s of usual load: %.1f MB" % (CALM_SECONDS, sidecar.memory_mb()))
    if TROUBLE:
        record(AT_ONCE, "requests at once, and the same again as soon as each is answered")
        until = time.monotonic() + SECONDS
        await asyncio.gather(*[client(100 + number, until, 0) for number in range(AT_ONCE - 20)])
    await asyncio.gather(*usual)
    watching.cancel()
    record("answers", answers, "peak %.1f MB" % peak)
    if killed:
        return "the sidecar used %.1f MB of %d and was killed" % (killed[0], MEMORY_MB)


main(case, os.path.dirname(os.path.abspath(__file__)))
