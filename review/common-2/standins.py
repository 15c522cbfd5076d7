"""Stand-ins for the platform: its store, replicas, clients, and the nodes as processes.

Only the standard library is used. Everything listens on loopback addresses with free ports,
and all files lie in a temporary folder.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "kumquatnotch-platform")
TEMPLATE = os.path.join(ROOT, "deploy", "node.toml")
HOST = "rooms.example"
HEARTBEAT_S = 1.2


def now():
    return time.monotonic()


def free_ip():
    """A loopback address of this run, so that several nodes can use the same ports."""
    a, b, c = random.randint(16, 250), random.randint(1, 250), random.randint(1, 250)
    return f"127.{a}.{b}.{c}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Message:
    """A request or an answer, read whole."""

    def __init__(self, start, headers, body):
        self.start, self.headers, self.body = start, headers, body
        parts = start.split(" ", 2)
        if start.startswith("HTTP/"):
            self.status = int(parts[1])
        else:
            self.method, self.target = parts[0], parts[1]
            self.path, _, query = self.target.partition("?")
            self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


async def read_message(reader):
    """Reads a message; None if the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    body = b""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(lines[0], headers, body)


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout", 403: "Forbidden"}


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """An HTTP/1.1 server, one request at a time on a connection."""

    def __init__(self):
        self.connections = {}
        self.server = None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self._serve, ip, port, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self.address

    def is_listening(self):
        return self.server is not None

    def reset_all(self):
        """Ends as a killed process does: no listener, and all connections are reset."""
        if self.server:
            self.server.close()
            self.server = None
        for writer, task in list(self.connections.items()):
            writer.transport.abort()
            task.cancel()
        self.connections.clear()

    async def _serve(self, reader, writer):
        self.connections[writer] = asyncio.current_task()
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        state = {}
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if await self.handle(request, reader, writer, state) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.pop(writer, None)
            writer.close()

    async def handle(self, request, reader, writer, state):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store, as the pages describe it."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.events = []
        self.revision = 10
        self.oldest = 10
        self.leases = {}
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.tasks = []

    async def start(self, ip):
        await self.listen(ip)
        self.tasks.append(asyncio.ensure_future(self._expire()))

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (_, until) in list(self.leases.items()):
                if until <= now():
                    self._end_lease(lease)
            while self.events and self.events[0][0] < now() - 20.0:
                self.oldest = self.events.pop(0)[1]["revision"]

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["leaseId"] == lease]:
            self.delete(key)

    def _note(self, event):
        self.events.append((now(), event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease=0):
        self.revision += 1
        known = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createdRev": known["createdRev"] if known else self.revision, "leaseId": lease}
        self.items[key] = item
        self._note(item)
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    async def handle(self, request, reader, writer, state):
        status, value = await self._call(request)
        body = json.dumps(value).encode() if value is not None else b""
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(encode(status, headers, body))
        await writer.drain()

    async def _call(self, request):
        query = request.query
        if request.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, atRev=self.revision)) if item else (404, None)
        if request.path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "atRev": self.revision}
        if request.path == "/kv-watch":
            return await self._watch(query)
        if request.method == "DELETE":
            self._end_lease(int(request.path.rsplit("/", 1)[1]))
            return 200, {}
        if request.path.startswith("/kv-keep/"):
            lease = int(request.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"leaseId": lease, "ttlMs": int(ttl * 1e3)}
        body = json.loads(request.body)
        if request.path == "/kv-lease":
            ttl = max(1.0, body["ttlMs"] / 1e3)
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, now() + ttl)
            return 200, {"leaseId": self.next_lease, "ttlMs": int(ttl * 1e3)}
        if request.path == "/kv-txn":
            return self._transact(body)
        return 404, None

    def _transact(self, body):
        rows = body.get("precondition", [])
        current = {row["key"]: self.items.get(row["key"]) for row in rows}
        for row in rows:
            item = current[row["key"]]
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": [item for item in current.values() if item]}
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        keys = [put["key"] for put in puts] + list(deletes)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        if any(put.get("leaseId") and put["leaseId"] not in self.leases for put in puts):
            return 404, None
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("leaseId") or 0)
        for key in deletes:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = now() + int(query.get("waitMs", "0")) / 1e3
        while True:
            if after < self.oldest or after > self.revision:
                return 410, None
            events = [event for _, event in self.events
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(Server):
    """A replica of a service that keeps its entry in the store.

    A request takes a slot for `work_s`. Those that wait longer than their time are rejected.
    """

    def __init__(self, store, service, zone, record, slots=6, work_s=0.01, identity=None):
        super().__init__()
        self.store, self.service, self.zone, self.record = store, service, zone, record
        self.slots, self.work_s = slots, work_s
        self.id = identity or f"i-{random.getrandbits(32):08x}"
        self.sequence, self.born = 0, 0
        self.state = "ready"
        self.limit = asyncio.Semaphore(slots)
        self.waiting = 0
        self.ip = free_ip()
        self.port = 0
        self.beats = None
        self.answers = 0

    async def start(self):
        _, self.port = await self.listen(self.ip, self.port)
        self.born, self.sequence = int(time.time() * 1e3), 0
        self.limit, self.waiting = asyncio.Semaphore(self.slots), 0
        self.beats = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.sequence += 1
        self.store.put_json(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "maxConcurrency": self.slots, "state": self.state,
            "warmupLeftMs": 0, "sequence": self.sequence, "born": self.born})

    def crash(self):
        if self.beats:
            self.beats.cancel()
        self.reset_all()

    def load(self):
        running = self.slots - self.limit._value
        return ("Server-Load", f"{running},{self.waiting},{self.slots}")

    def proof(self, identity):
        return f"{identity}.{self.id}.{random.getrandbits(32):08x}"

    async def handle(self, request, reader, writer, state):
        identity = request.headers.get("request-id")
        if request.path == "/health":
            answer = encode(200, [("Instance-Id", self.id), self.load(), ("Keep-Alive", "timeout=15")])
            return await self.send(request, answer, writer, state)
        expected = request.headers.get("expected-instance", self.id)
        echo = [("Request-Id", identity), ("Keep-Alive", "timeout=15")]
        if expected != self.id:
            answer = encode(421, echo + [("Instance-Id", self.id)])
            return await self.send(request, answer, writer, state)
        time_left = float(request.headers.get("request-deadline", "1000")) / 1e3
        self.waiting += 1
        try:
            await asyncio.wait_for(self.limit.acquire(), time_left)
        except asyncio.TimeoutError:
            answer = encode(503, echo + [("Not-Executed", "1"), self.load()])
            return await self.send(request, answer, writer, state)
        finally:
            self.waiting -= 1
        try:
            self.began(request)
            await asyncio.sleep(self.work_s)
        finally:
            self.limit.release()
        body = self.body(request)
        answer = encode(200, echo + [("Response-Stamp", self.proof(identity)), self.load()], body)
        return await self.send(request, answer, writer, state)

    def began(self, request):
        self.record.write("run", request=request.headers.get("request-id"), replica=self.id,
                          service=self.service, target=request.target)

    def body(self, request):
        return f"{request.headers.get('request-id')} at {self.id}\n".encode()

    async def send(self, request, answer, writer, state):
        self.answers += 1
        writer.write(answer)
        await writer.drain()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1 << 16)
        self.start = now()

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now() - self.start:9.3f} {what} {text}\n")

    def say(self, text):
        self.file.write(f"{now() - self.start:9.3f} # {text}\n")
        print(text, flush=True)

    def close(self):
        self.file.close()


def look_up(fields, name):
    value = fields
    for part in name.split("."):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(str(entry) for entry in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, fields):
    """Fills in the template of the settings as the deploy page tells."""

    def section(match):
        kind, name, inner = match.groups()
        value = look_up(fields, name)
        if kind == "^":
            return render(inner, fields) if not value else ""
        if not value:
            return ""
        if not isinstance(value, (dict, list)):
            return render(inner, fields)
        entries = value.items() if isinstance(value, dict) else enumerate(value)
        texts = []
        for key, entry in entries:
            one = inner.replace("{{@}}", str(key)).replace("{{.}}", as_text(entry))
            texts.append(render(one, fields))
        return "".join(texts)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)

    def field(match):
        name, is_json = match.groups()
        value = look_up(fields, name)
        return json.dumps(value) if is_json else as_text(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", field, text)


BOUNDS = {"drainMs": 4000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 4000,
          "contactMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56,
          "recoveryS": 12, "ttl_max_s": 5}
ZONES = {"cm-hall-a": "chiangmai", "pk-hall-b": "phuket", "bk-hall-c": "bangkok"}


class Node:
    """A node of the system: the program of the deploy file, as a process of its own."""

    def __init__(self, name, zone, store, folder, bootstrap=True):
        self.name, self.zone, self.ip = name, zone, free_ip()
        ports = {}
        for use in ("frontend", "ready", "directory"):
            ports[use] = free_port(self.ip)
        self.frontend, self.ready = (self.ip, ports["frontend"]), (self.ip, ports["ready"])
        self.directory = (self.ip, ports["directory"])
        self.peer = (self.ip, free_port(self.ip))
        self.fields = {
            "nodeName": name, "zone": zone, "region": ZONES[zone], "ip": self.ip, "zones": ZONES,
            "listenAddrs": {use: f"{self.ip}:{port}" for use, port in ports.items()},
            "internalPorts": [self.peer[1], self.peer[1] + 15], "bootstrap": bootstrap,
            "limits": {"cpuShare": 0.25, "cores": 1}, "bounds": BOUNDS,
            "platform": {"address": "{}:{}".format(*store)}}
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        self.process = None

    async def start(self):
        with open(TEMPLATE) as template:
            text = render(template.read(), self.fields)
        with open(self.settings, "w") as settings:
            settings.write(text)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--settings", self.settings, stdout=log, stderr=log, cwd=ROOT)
        self.fields["bootstrap"] = False

    def signal(self, number):
        if self.process is not None and self.process.returncode is None and self.process.pid > 1:
            self.process.send_signal(number)

    async def wait_ready(self, within=15.0):
        until = now() + within
        while now() < until:
            answer = await ask(self.ready, "GET", "/ready", timeout=1.0)
            if answer is not None and answer.status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        await self.process.wait()


async def ask(address, method, target, headers=(), body=b"", timeout=2.0):
    """Sends one request on a new connection; None if there is no complete answer."""
    try:
        return await asyncio.wait_for(_ask(address, method, target, headers, body), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


async def _ask(address, method, target, headers, body):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(encode_request(method, target, headers, body))
        return await read_message(reader)
    finally:
        writer.close()


def encode_request(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_headers(identity, deadline_ms):
    return [("Host", HOST), ("Request-Id", identity), ("Request-Deadline", str(deadline_ms))]


class Link:
    """A kept connection of a client."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    async def send(self, method, target, headers, body=b"", timeout=4.5):
        """Returns the answer, or None if the connection broke or the time was over."""
        try:
            return await asyncio.wait_for(self._send(method, target, headers, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _send(self, method, target, headers, body):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.writer.write(encode_request(method, target, headers, body))
        answer = await read_message(self.reader)
        if answer is None or "close" in answer.headers.get("connection", "").lower():
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def service(name, connections=110):
    return {"name": name, "healthCheckPath": "/health", "maxConnections": connections,
            "protocol": "h1", "tls": False}


def route(name, prefix, to, kind="idempotent", timeout_ms=4000, target_ms=400, attempts=2,
          priority=2, **more):
    return dict({"name": name, "hostname": HOST, "prefix": prefix, "routeType": kind,
                 "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": priority,
                 "attempts": attempts}, **to, **more)


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


class Site:
    """A small deployment: a store, nodes and replicas, ended together."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.store = Store()
        self.nodes, self.replicas = [], []
        self.temp = tempfile.mkdtemp(prefix="review-")

    async def start_store(self, config):
        await self.store.start(free_ip())
        self.store.put_json("op/config", config)

    async def add_replicas(self, replicas):
        for replica in replicas:
            await replica.start()
            self.replicas.append(replica)

    async def start_nodes(self, zones):
        for index, zone in enumerate(zones):
            node = Node(f"edge-{zone}-{index + 1}", zone, self.store.address, self.temp)
            self.nodes.append(node)
            await node.start()
        for node in self.nodes:
            if not await node.wait_ready():
                raise RuntimeError(f"{node.name} did not become ready")
        # All nodes know each other after this time.
        await asyncio.sleep(4.0)

    async def close(self):
        for node in self.nodes:
            await node.end()
        for replica in self.replicas:
            replica.crash()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def main(folder, case):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        site = Site(folder)
        try:
            return await asyncio.wait_for(case(site, trouble), 112.0)
        finally:
            await site.close()

    if not os.path.exists(PROGRAM):
        print("the program isn't built: run the build command of deploy/system.toml")
        sys.exit(2)
    try:
        broken = asyncio.run(run())
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
