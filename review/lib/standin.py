"""Stand-ins for the platform, discovery, servers and clients, as the users' pages describe them.

Nothing here needs more than Python's standard library. All addresses are loopback addresses.
"""
import asyncio, json, logging, os, re, signal, socket, subprocess, sys, tempfile, time, shutil

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run: exit status 2."""


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
        found = re.search(r'^%s = "(.*)"$' % key, f.read(), re.M)
    if not found:
        raise CannotRun("no %s in deploy/balancer.toml" % key)
    return found.group(1)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Record:
    """What was sent, answered and run, one line an event, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def __call__(self, *words):
        self.file.write("%9.4f %s\n" % (time.monotonic() - self.start, " ".join(map(str, words))))

    def close(self):
        self.file.close()


def settings(classes, zones=("utrecht", "groningen", "eindhoven"), instances=1, me=0, **limits):
    """The settings of a small deployment, with the figures of the wire page's example."""
    base = {
        "cancel": True, "connIdle": 10000000, "connectTimeout": 75000, "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 511595, "maxAttempts": 6, "maxOpen": 255797, "maxRetryAfter": 2000000,
        "mayDuplicate": True, "mayTell": True, "probing": False, "retryAfter": False, "streamsPerConn": 1,
    }
    base.update(limits)
    return {
        "classes": classes, "clients": {"marksRetry": False}, "discovery": "pushed",
        "familyInfo": {"warmKeys": False},
        "goal": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.35},
        "instances": instances, "kinds": ["std-2c"], "layer": 0, "limits": base, "me": me,
        "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.06, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.03,
                   "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.04},
        "report": {"columns": ["q", "busy", "rif"], "how": "piggyback"},
        "rules": {"answerSlack": 8000, "cold": 23000000, "coldShare": 0.16, "fallMultiple": 4.0,
                  "mustAskIn": 10000000, "stopSendingWithin": 500000, "tipAfter": 3000000},
        "tenants": [{"name": "zendkring-delta", "quotaPerS": 84.0, "share": 0.37},
                    {"name": "radioclub-oost", "quotaPerS": 73.0, "share": 0.32},
                    {"name": "qrp-kring-noord", "quotaPerS": 70.0, "share": 0.31}],
        "tick": 2000, "tiers": ["logboek-api"], "weightKind": "silent", "workload": "mesh", "worthBy": "work",
        "zone": 0, "zones": list(zones),
    }


def service_class(name, repeat, aim_ms, deadline_ms, credit=1.0, window_ms=1200, scope="zone"):
    return {"aim": aim_ms * 1000, "credit": credit, "deadline": deadline_ms * 1000, "dedupScope": scope,
            "lateWorth": 0.25, "name": name, "repeat": repeat, "streaming": False, "window": window_ms * 1000}


CLASSES = [
    service_class("call-lookup", "idempotent", 150, 750, 2.0),
    service_class("log-page", "idempotent", 250, 750, 1.0),
    service_class("qsl-order", "at_most_once", 400, 1500, 8.0),
    service_class("log-upload", "deduplicated", 400, 2000, 10.0),
]
METHOD = {"call-lookup": "GET", "log-page": "GET", "qsl-order": "POST", "log-upload": "POST"}


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, until_close=False):
    """Reads a whole message. Raises IncompleteReadError or ConnectionError if it does not come whole."""
    first, headers = await read_head(reader)
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif until_close:
        body = await reader.read(-1)
    else:
        body = b""
    return Message(first, headers, body)


class Server:
    """A server: begins a request when its last byte has come. `behave` answers it."""

    def __init__(self, name, behave, record, zone="utrecht"):
        self.name, self.behave, self.record, self.zone = name, behave, record, zone
        self.ran, self.held, self.connections, self.tasks = [], 0, 0, set()
        self.health, self.born_ms = "active", 0

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def entry(self, dial=None):
        return {"host": self.name, "dial": dial or "127.0.0.1:%d" % self.port, "site": self.zone,
                "class": "std-2c", "block": 0, "health": self.health, "share": 1.0, "born_ms": self.born_ms}

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_message(reader)
                ident = request.get("x-correlation-id")
                if ident is None:
                    await self.write(writer, answer(404))
                    continue
                self.record("server", self.name, "connection", number, "request", ident, request.first,
                            "time-left", request.get("x-time-left-ms"), "body", len(request.body))
                self.held += 1
                try:
                    if await self.behave(self, request, writer, number) is False:
                        return
                finally:
                    self.held -= 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    def load(self):
        return "X-Backend-Load: inflight=%d,queue=0,util=%.2f\r\n" % (self.held, min(1.0, self.held / 8))

    @staticmethod
    async def write(writer, data):
        writer.write(data)
        await writer.drain()


def answer(status, body=b"", extra="", length=True):
    reason = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}[status]
    size = "Content-Length: %d\r\n" % len(body) if length else ""
    return ("HTTP/1.1 %d %s\r\n%s%s\r\n" % (status, reason, size, extra)).encode() + body


class Agent:
    """Discovery on the sidecar's own machine: answers at once with what it has; watches wait for changes."""

    def __init__(self, servers, record):
        self.servers, self.record, self.seq = servers, record, 1
        self.changes, self.changed = {}, asyncio.Condition()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": [s.entry() for s in self.servers if s.health != "left"]}

    async def tell(self, server, health):
        async with self.changed:
            server.health = health
            self.seq += 1
            self.changes[self.seq] = server
            self.record("discovery tells", server.name, health, "version", self.seq)
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                first, _ = await read_head(reader)
                found = re.search(r"from=(\d+)&hold_ms=(\d+)", first)
                if not found:
                    body = self.whole()
                else:
                    since, hold = int(found.group(1)), int(found.group(2)) / 1000
                    async with self.changed:
                        try:
                            await asyncio.wait_for(self.changed.wait_for(lambda: self.seq > since), hold)
                        except asyncio.TimeoutError:
                            pass
                    news = {s.name: s for v, s in self.changes.items() if v > since}
                    body = {"seq": self.seq, "whole": False, "hosts": [s.entry() for s in news.values()]}
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(text) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Sidecar:
    """One sidecar, started by `run` of the deploy file."""

    def __init__(self, agent, record, the_settings, name="n0", limits=None, known=None, log="info"):
        self.agent, self.record, self.settings, self.name = agent, record, the_settings, name
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.known, self.log_level, self.port = known, log, free_port()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.process = None

    def write_config(self, discovery_port=None, **more):
        config = {
            "name": self.name, "listen": "127.0.0.1:%d" % self.port,
            "discovery": "127.0.0.1:%d" % (discovery_port or self.agent.port), "seed": "8c1f30d27a5be964",
            "limits": self.limits, "known": self.known or self.agent.whole(), "settings": self.settings,
        }
        config.update(more)
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as f:
            json.dump(config, f)
        os.rename(path + ".new", path)
        return path

    async def start(self, **more):
        path = self.write_config(**more)
        environment = {"PATH": os.environ["PATH"], "LB_CONFIG": path, "TMPDIR": self.folder,
                       "LB_NAME": self.name, "LB_LISTEN": "127.0.0.1:%d" % self.port,
                       "LB_DISCOVERY": "127.0.0.1:%d" % self.agent.port, "LB_LOG": self.log_level}
        log = open(os.path.join(self.folder, "log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_command("run")], cwd=ROOT, env=environment,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        for _ in range(1500):
            if self.process.poll() is not None:
                raise CannotRun("the sidecar ended with %s: %s" % (self.process.returncode, self.log()[-500:]))
            try:
                client = await Client(self).connect()
                status, _ = await client.ask(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1)
                client.close()
                if status == 200:
                    self.record("sidecar", self.name, "is ready, process", self.process.pid)
                    return self
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the sidecar is not ready after 30 s")

    def log(self):
        with open(os.path.join(self.folder, "log"), errors="replace") as f:
            return f.read()

    def send_signal(self, number):
        self.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    def memory_mb(self, key="VmRSS"):
        with open("/proc/%d/status" % self.process.pid) as f:
            return int(re.search(key + r":\s+(\d+) kB", f.read()).group(1)) / 1024

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """One connection of the application; one request at a time."""

    def __init__(self, sidecar):
        self.sidecar = sidecar

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.sidecar.port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    async def ask(self, data, wait):
        """Sends a request and returns the status and the body; raises if the answer does not come whole in time."""
        self.writer.write(data)
        message = await asyncio.wait_for(read_message(self.reader, until_close=True), wait)
        if message.get("connection", "").lower() == "close":
            self.close()
        return int(message.first.split()[1]), message.body

    def close(self):
        self.writer.close()


def request(class_name, ident, left_ms, body=b"", key=None, account="zendkring-delta"):
    method = METHOD[class_name]
    head = "%s /%s/x HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Account: %s\r\nX-Time-Left-Ms: %d\r\n" % (
        method, class_name, ident, account, left_ms)
    if key:
        head += "Idempotency-Key: %s\r\n" % key
    if method == "POST":
        head += "Content-Length: %d\r\n" % len(body)
    return head.encode() + b"\r\n" + body


def main(case, folder, limit=115):
    """Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    sidecars = []
    # A case that is told to end ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    # Connections that are cut off at the end of a case are no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def bounded():
        return await asyncio.wait_for(case(record, sidecars), limit)

    try:
        broken = asyncio.run(bounded())
        record("result:", broken or "the rule held")
        print(broken or "the rule held")
        status = 1 if broken else 0
    except CannotRun as error:
        record("could not run:", error)
        print("could not run:", error)
        status = 2
    except BaseException as error:
        record("could not run:", repr(error))
        print("could not run:", repr(error))
        status = 2
    finally:
        for sidecar in sidecars:
            sidecar.end()
        record.close()
    sys.exit(status)
