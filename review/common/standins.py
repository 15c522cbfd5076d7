"""Stand-ins for the platform's store and its replicas, the nodes as processes, and clients.

Everything listens on loopback addresses. The store and the replicas follow the users' pages; a
case only scripts the disturbance that it is about.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import tempfile
import time
import urllib.parse

REPO = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPO, "target", "release", "kumquatnotch-platform")
HISTORY_S = 20
MAX_VALUE_BYTES = 1_048_576
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
WATCH_BYTES = 2_000_000


class CannotRun(Exception):
    """The case could not run; nothing was shown."""


GIVEN_PORTS = set()


def free_port():
    """Returns a free port outside the ephemeral range, from which the kernel takes others."""
    for _ in range(200):
        port = 10_000 + int.from_bytes(os.urandom(2), "big") % 20_000
        if port in GIVEN_PORTS:
            continue
        GIVEN_PORTS.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads a head; returns its first line and its headers, or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def http_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}  # key -> (value, revision, created, lease)
        self.events = []  # (revision, time, key, event)
        self.forgotten = 0
        self.leases = {}  # id -> [ttl, expires]
        self.next_lease = 1
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.ticker = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, expires) in list(self.leases.items()):
                if expires <= now:
                    del self.leases[lease]
                    for key in [k for k, item in self.items.items() if item[3] == lease]:
                        self.delete(key)
            while self.events and self.events[0][1] < now - HISTORY_S:
                self.forgotten = self.events.pop(0)[0]

    def notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.events.append((self.revision, time.monotonic(), key, self.show(key)))
        self.notify()
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.events.append((self.revision, time.monotonic(), key, json.dumps(event)))
        self.notify()

    def put_json(self, key, value):
        return self.put(key, json.dumps(value, separators=(",", ":")).encode())

    def show(self, key):
        value, revision, created, lease = self.items[key]
        return json.dumps({
            "key": key, "value": base64.b64encode(value).decode(), "revision": revision,
            "createdRev": created, "leaseId": lease,
        })

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(0.004)
                method, target, _ = line.split(" ", 2)
                status, text = await self.answer(method, target, body)
                writer.write(http_answer(status, [("Content-Type", "application/json"),
                                                  ("Store-Era", "1")], text.encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, True).items()}
        if (method, url.path) == ("GET", "/kv-key"):
            key = query.get("key", "")
            return (200, self.show(key)) if key in self.items else (404, "{}")
        if (method, url.path) == ("GET", "/kv-range"):
            return self.range(query.get("prefix", ""), query.get("after", ""))
        if (method, url.path) == ("GET", "/kv-watch"):
            return await self.watch(query)
        if (method, url.path) == ("POST", "/kv-txn"):
            return self.transact(json.loads(body))
        if (method, url.path) == ("POST", "/kv-lease"):
            ttl = max(json.loads(body)["ttlMs"], 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl / 1e3, time.monotonic() + ttl / 1e3]
            return 200, json.dumps({"leaseId": lease, "ttlMs": ttl})
        if method == "POST" and url.path.startswith("/kv-keep/"):
            lease = self.leases.get(int(url.path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, "{}"
            lease[1] = time.monotonic() + lease[0]
            return 200, json.dumps({"ttlMs": int(lease[0] * 1e3)})
        return 404, "{}"

    def range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        shown, size = [], 0
        for key in keys:
            text = self.show(key)
            if shown and (len(shown) == PAGE_ITEMS or size + len(text) > PAGE_BYTES):
                break
            shown.append(text)
            size += len(text)
        more = json.dumps(len(shown) < len(keys))
        return 200, '{"items":[%s],"hasMore":%s,"atRev":%d}' % (",".join(shown), more, self.revision)

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1e3
        while True:
            if after < self.forgotten:
                return 410, "{}"
            found, at_rev, size = [], self.revision, 0
            for revision, key, text in [(r, k, t) for r, _, k, t in self.events if r > after]:
                if found and size + len(text) > WATCH_BYTES:
                    at_rev = revision - 1
                    break
                if key.startswith(prefix):
                    found.append(text)
                    size += len(text)
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, '{"events":[%s],"atRev":%d}' % (",".join(found), at_rev)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        puts, deletes = body.get("puts", []), body.get("deletes", [])
        keys = [put["key"] for put in puts] + deletes
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, "{}"
        rows = body.get("precondition", [])
        if any(self.items.get(row["key"], (0, 0))[1] != row["revision"] for row in rows):
            items = [self.show(row["key"]) for row in rows if row["key"] in self.items]
            return 412, '{"items":[%s]}' % ",".join(items)
        if any(put.get("leaseId", 0) and put["leaseId"] not in self.leases for put in puts):
            return 404, "{}"
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("leaseId", 0))
        for key in deletes:
            self.delete(key)
        return 200, json.dumps({"revision": self.revision})


class Node:
    """A node of the tier as a process, started with the command of the deploy file."""

    def __init__(self, name, zone, regions, store, folder, bounds, first):
        self.name, self.folder = name, folder
        ports = [free_port() for _ in range(5)]
        keys = ["entry", "ready", "directory", "peer", "metrics"]
        self.at = dict(zip(keys, ports))
        lines = ["[node]", f'name = "{name}"', f'centre = "{zone}"', f'region = "{regions[zone]}"',
                 "cpu_share = 0.25", "cores = 1", f"first_start = {str(first).lower()}", "[listen]"]
        lines += [f'{key} = "127.0.0.1:{port}"' for key, port in self.at.items()]
        lines += ["[store]", f'address = "{store.address}"', "[bounds]"]
        lines += [f"{key} = {value}" for key, value in bounds.items()]
        for centre, region in regions.items():
            lines += ["[[centres]]", f'name = "{centre}"', f'region = "{region}"']
        self.settings = os.path.join(folder, f"{name}.toml")
        with open(self.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("the program is not built")
        self.log = open(os.path.join(self.folder, f"{self.name}.log"), "w")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--settings", self.settings, cwd=REPO, stdout=self.log, stderr=self.log)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        answer = await get(self.at["ready"], "/ready")
        return answer is not None and answer[0] == 200

    async def stop(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()
        self.log.close()

    def runs(self):
        return self.process.returncode is None

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0


async def get(port, path, timeout=1.0):
    """Sends a GET on a new connection; returns status, headers and body, or None."""
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n".encode())
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None


async def read_answer(reader):
    """Reads an answer with a length; returns status, headers and body, or None if it is cut."""
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(line.split()[1]), headers, body


async def wait_ready(nodes, within=10):
    end = time.monotonic() + within
    for node in nodes:
        while not await node.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f"{node.name} did not become ready")
            await asyncio.sleep(0.05)


def run_case(folder, main):
    """Runs a case; its exit code is 1 if the rule was broken, 0 if it held, 2 if it did not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble {trouble}")

    async def play():
        # Connections are cut at the end of a case, whatever they wait for.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        with tempfile.TemporaryDirectory() as scratch:
            if os.environ.get("KEEP_LOGS"):
                scratch = os.environ["KEEP_LOGS"]
            nodes = []
            try:
                return await asyncio.wait_for(main(record, scratch, nodes, trouble), 110)
            finally:
                for node in nodes:
                    if hasattr(node, "process"):
                        await node.stop()
    try:
        broken = asyncio.run(play())
        code = 1 if broken else 0
        record.write(f"result: {'the rule was broken: ' + broken if broken else 'the rule held'}")
    except Exception as error:  # whatever it is, nothing was shown
        code = 2
        record.write(f"result: did not run: {error!r}")
    record.close()
    print(open(os.path.join(folder, "record.txt")).read().splitlines()[-1])
    raise SystemExit(code)
