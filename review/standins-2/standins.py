"""Stand-ins for the users' platform on loopback: store, workers, consumers, and fronts.

Only the standard library is used. The store follows PROTOCOL.md, "The platform's metadata store";
workers follow "Workers" and "Requests". Each front reaches the store at an address of its own, so
that a case can cut one front off.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_MS = 1200
NOT_RUN = "X-Catkinmast-Not-Run"
REQUEST_ID = "x-catkinmast-request-id"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 422: "Unprocessable Entity", 500: "Internal Server Error",
           503: "Service Unavailable"}


def now():
    return time.monotonic()


def end_with_parent():
    """Has the kernel kill this process when the case ends, whatever ends it."""
    PR_SET_PDEATHSIG = 1
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {key: values[0] for key, values in parse_qs(parts.query).items()}

    def id(self):
        return self.headers.get(REQUEST_ID, "")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    line, headers = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    return Request(method, target, headers, await read_body(reader, headers))


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_response(status, value):
    return response(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


class Store:
    """The platform's metadata store; all listeners serve the same data."""

    def __init__(self):
        self.items, self.log, self.leases = {}, [], {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.listeners = {}

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        old = self.items.get(key)
        created = old["createdAt"] if old else revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "createdAt": created, "lease": lease}
        self.items[key] = item
        self.log.append(item)
        self.wake()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def delete(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self.log.append({"key": key, "revision": revision, "deleted": True})
        self.wake()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease in [i for i, (until, _) in self.leases.items() if until <= now()]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.delete(key)

    async def answer(self, request):
        await asyncio.sleep(0.002)
        path, query = request.path, request.query
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            return json_response(200, dict(item, asOf=self.revision)) if item else json_response(404, {})
        if path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = keys[:500]
            return json_response(200, {"items": [self.items[k] for k in page],
                                       "truncated": len(keys) > len(page), "asOf": self.revision})
        if path == "/-/kv-watch":
            until = now() + int(query["waitMs"]) / 1000
            while True:
                events = [e for e in self.log if e["revision"] > int(query["after"])
                          and e["key"].startswith(query["prefix"])]
                if events or now() >= until:
                    return json_response(200, {"events": events, "asOf": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), until - now())
                except asyncio.TimeoutError:
                    pass
        if path == "/-/kv-txn":
            return self.transact(json.loads(request.body))
        if path == "/-/kv-lease":
            ttl = json.loads(request.body)["ttlMs"]
            self.revision += 1
            self.leases[self.revision] = (now() + ttl / 1000, ttl)
            return json_response(200, {"lease": self.revision, "ttlMs": ttl})
        lease = int(path.rsplit("/", 1)[1]) if path.rsplit("/", 1)[1].isdigit() else 0
        if path.startswith("/-/kv-keep/"):
            if lease not in self.leases:
                return json_response(404, {})
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return json_response(200, {"ttlMs": ttl})
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(lease)
            return json_response(200, {})
        return json_response(404, {})

    def transact(self, call):
        expected = call.get("expected", [])
        current = lambda key: self.items.get(key, {"key": key, "revision": 0})
        if any(current(row["key"])["revision"] != row["revision"] for row in expected):
            return json_response(412, {"items": [current(row["key"]) for row in expected]})
        if any(p.get("lease") and p["lease"] not in self.leases for p in call.get("puts", [])):
            return json_response(404, {})
        self.revision += 1
        revision = self.revision
        for put in call.get("puts", []):
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0), revision)
        for key in call.get("deletes", []):
            self.delete(key, revision)
        return json_response(200, {"revision": revision})

    async def serve(self, reader, writer, name):
        connections = self.listeners[name]["connections"]
        connections.add(writer)
        try:
            while True:
                request = await read_request(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    async def listen(self, name, address):
        """Opens the path from one front to the store."""
        self.listeners[name] = {"address": address, "connections": set()}
        handler = lambda reader, writer: self.serve(reader, writer, name)
        self.listeners[name]["server"] = await asyncio.start_server(handler, *address)

    def cut(self, name):
        """Cuts the path from one front to the store: connections are reset, new ones refused."""
        listener = self.listeners[name]
        listener["server"].close()
        for writer in list(listener["connections"]):
            reset(writer)

    async def heal(self, name):
        await self.listen(name, self.listeners[name]["address"])


def reset(writer):
    raw = writer.get_extra_info("socket")
    if raw is not None:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Worker:
    """A worker that registers itself in the store; subclasses answer requests."""

    def __init__(self, site, service, slots=2, zone="zone-a", models=()):
        self.site, self.service, self.slots, self.zone = site, service, slots, zone
        self.id = f"i-{random.getrandbits(40):010x}"
        self.models = {model: 1 for model in models}
        self.orders, self.busy_until = 0, 0.0
        self.state, self.registered = "ready", True
        self.writers = set()

    async def start(self):
        self.address = (self.site.worker_ip, free_port(self.site.worker_ip))
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.register()
        self.heartbeats = asyncio.create_task(self.beat())
        return self

    def register(self):
        self.site.store.put_json(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
            "coldLeftMs": 0, "stage": "hybrid", "models": self.model_list(),
            "seq": self.next_sequence()})

    def next_sequence(self):
        self.sequence = getattr(self, "sequence", 0) + 1
        return self.sequence

    def model_list(self):
        return [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()]

    async def beat(self):
        while self.registered:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            if self.registered:
                self.register()

    def leave_registry(self):
        """Removes the entry without reporting `draining`; the worker serves on."""
        self.registered = False
        self.site.store.delete(f"servers/{self.id}")

    def stop(self):
        self.registered = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer_own(request, writer):
                    await self.answer(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_own(self, request, writer):
        """Answers what every worker answers in the same way; returns whether it did."""
        if request.path == "/health":
            writer.write(response(200, b"", [("X-Catkinmast-Instance-Id", self.id)]))
            return True
        expected = request.headers.get("x-catkinmast-expect-instance")
        if expected not in (None, self.id):
            writer.write(response(421, b"", [("X-Catkinmast-Instance-Id", self.id)]))
            return True
        if request.path == "/-/report":
            busy = now() < self.busy_until
            writer.write(json_response(200, {
                "stage": "hybrid", "models": self.model_list(), "busy": busy, "seq": self.orders,
                "queued": 0, "inFlight": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0}))
            return True
        if request.path == "/-/order":
            order = json.loads(request.body)
            if order.get("expected") not in (None, self.orders) or now() < self.busy_until:
                writer.write(response(409))
            elif self.models.get(order["model"]) == order["version"]:
                writer.write(response(200))
            else:
                self.orders += 1
                self.busy_until = now() + 0.3
                self.models[order["model"]] = order["version"]
                writer.write(response(202))
            return True
        return False

    async def answer(self, request, reader, writer):
        raise NotImplementedError


def stamp(worker, request):
    return f"{worker.id[2:]}.{request.id()}"


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, fronts=2):
        net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.folder = tempfile.mkdtemp(prefix="catkinmast-case-")
        self.store = Store()
        self.worker_ip, self.store_ip = f"{net}.200", f"{net}.201"
        self.fronts = {}
        names = [f"front-zone-a-{n + 1}" for n in range(fronts)]
        for n, name in enumerate(names):
            self.fronts[name] = {"ip": f"{net}.{10 + n}", "process": None}
        self.standby_ip = f"{net}.100"
        self.ports = {key: free_port(self.fronts[names[0]]["ip"]) for key in
                      ("front", "ready", "control", "directory", "peer")}
        self.others = []

    def settings(self, name, ip, store, front=True):
        p = self.ports
        seeds = json.dumps([f"{f['ip']}:{p['control']}" for f in list(self.fronts.values())[:3]])
        listen = (f'front = "{ip}:{p["front"]}"\nreadyAddr = "{ip}:{p["ready"]}"\n'
                  f'control = "{ip}:{p["control"]}"\ndirectory = "{ip}:{p["directory"]}"\n') if front else ""
        kind = "front" if front else "store"
        return f"""node = "{name}"
role = "{'entry' if front else 'standby'}"
machineClass = "{kind}"
serves = {json.dumps(["front", "directory"] if front else ["store"])}
ip = "{ip}"
zone = "zone-a"
region = "region"
portRange = [{p['peer']}, {p['peer']}]
seeds = {seeds}
bootstrap = true
lossCounts = {str(not front).lower()}
discovery = "platform"
entry = "directory"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch","platform"]
[zones]
zone-a = "region"
[listen]
{listen}
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4.8
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
recoverS = 12
passMs = 120
retryAfterS = 0
finishS = 10
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverage = 0.1
requireFence = false
leaseMs = 3000
thawMs = 300
ttl_max_s = 5
[platform]
address = "{store[0]}:{store[1]}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    def spawn(self, name, ip, store, command, front=True):
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w") as file:
            file.write(self.settings(name, ip, store, front))
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C.UTF-8",
               "CATKINMAST_BOOT": path}
        return subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log,
                                preexec_fn=end_with_parent)

    async def start(self, config):
        asyncio.create_task(self.store.expire_leases())
        self.config = config
        self.store.put_json("op/config", config)
        for name, front in self.fronts.items():
            front["store"] = (self.store_ip, free_port(self.store_ip))
            await self.store.listen(name, front["store"])
        standby = (self.store_ip, free_port(self.store_ip))
        await self.store.listen("standby", standby)
        self.others.append(self.spawn("store-zone-a-1", self.standby_ip, standby,
                                      ["target/release/catkinmast-standby"], front=False))
        for name in self.fronts:
            self.start_front(name)

    def start_front(self, name):
        front = self.fronts[name]
        front["process"] = self.spawn(name, front["ip"], front["store"],
                                      ["target/release/catkinmast-front", "--metrics-port", "9464"])

    def kill_front(self, name):
        process = self.fronts[name]["process"]
        process.send_signal(signal.SIGKILL)
        process.wait()

    async def ready(self, name):
        try:
            status, _, _ = await call((self.fronts[name]["ip"], self.ports["ready"]), "GET", "/-/ready",
                                      {}, b"", 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=20):
        until = now() + limit_s
        for name in self.fronts:
            while not await self.ready(name):
                if now() > until:
                    raise CannotRun(f"{name} is not ready after {limit_s} s")
                await asyncio.sleep(0.1)

    def callers(self, name):
        return (self.fronts[name]["ip"], self.ports["front"])

    def events(self, name):
        """The lines of a front's log, as far as written."""
        with open(os.path.join(self.folder, f"{name}.log")) as file:
            lines = [line for line in file if line.startswith("{")]
        return [json.loads(line) for line in lines if line.endswith("}\n")]

    def close(self):
        for process in [f["process"] for f in self.fronts.values() if f["process"]] + self.others:
            if process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("logs kept in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    pass


async def call(address, method, target, headers, body=b"", limit_s=5.0):
    """One call on a new channel; returns status, headers and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, answer_headers = await read_head(reader)
            return int(line.split(" ")[1]), answer_headers, await read_body(reader, answer_headers)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), limit_s)


def limits():
    return {"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000}


def plain_service(name, connections=96):
    return {"name": name, "healthPath": "/health", "maxConnections": connections, "protocol": "h1",
            "tls": False}


def engine_service(name, models, slots=8, connections=130):
    return dict(plain_service(name, connections), engine={
        "slots": slots, "kvCapacity": 69777, "kvTokenBytes": 131072, "linkMbps": 1100000.0,
        "moves": True, "backups": True, "stride": 67, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
        "handle_s": 5.0, "models": [{"name": model} for model in models]})


def run(main, folder):
    """Runs a case: `main(record, trouble)` returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with open(os.path.join(folder, "record.txt"), "w") as file:
        started = now()

        def record(text):
            file.write(f"{now() - started:8.3f} {text}\n")
            file.flush()

        try:
            held = asyncio.run(asyncio.wait_for(main(record, trouble), 115))
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record(f"the case could not run: {error!r}")
            print("could not run:", repr(error))
            sys.exit(2)
        verdict = "the rule held" if held else "the rule was broken"
        record(verdict)
        print(verdict)
        sys.exit(0 if held else 1)


class Engine(Worker):
    """A model worker that generates items as event streams; the text is a function of the item.

    `items` maps an item's id to the number of its events, or to a status with which each run of
    it is answered. A run ends when its channel closes.
    """

    event_ms = 40

    def __init__(self, *args, items, seen, **more):
        super().__init__(*args, **more)
        self.items, self.seen, self.running = items, seen, 0

    async def answer(self, request, reader, writer):
        await self.generate(request, reader, writer)

    async def generate(self, request, reader, writer):
        after = int(request.headers.get("last-event-id", "0"))
        plan = self.items[request.id()]
        if self.running >= self.slots:
            writer.write(response(503, b"", [(NOT_RUN, "1"), ("X-Catkinmast-Request-Id", request.id())]))
            return
        self.seen(self, request, after)
        signed = [("X-Catkinmast-Request-Id", request.id()),
                  ("X-Catkinmast-Server-Stamp", stamp(self, request))]
        if isinstance(plan, tuple):
            await asyncio.sleep(0.02)
            writer.write(response(plan[0], b"", signed))
            return
        version = self.models[request.headers["x-catkinmast-model"]]
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 f"X-Catkinmast-Weight-Versions: {version}"] + [f"{n}: {v}" for n, v in signed]
        self.running += 1
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            for event in range(after + 1, plan + 1):
                await asyncio.sleep(self.event_ms / 1000)
                data = f"id: {event}\ndata: {event_data(request.id(), event)}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                if writer.transport.is_closing() or reader.at_eof():
                    raise ConnectionError("the channel was closed")
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


def event_data(item, event):
    return f"{item}-{event:04d}"


def text_of(item, events):
    return "\n".join(event_data(item, event) for event in range(1, events + 1))


def lot_item(item, path, model, group, tokens=500):
    return {"id": item, "path": path, "tokens": tokens, "group": group,
            "headers": {"X-Catkinmast-Model": model, "X-Catkinmast-Token-Count": "100,400",
                        "X-Catkinmast-Prompt-Prefix": f"{group.encode().hex()}:100"},
            "body": base64.b64encode(item.encode()).decode()}
