"""A replica answers before it has read a long body, keeps the connection and reads on later."""

import asyncio
import os
import random
import socket
import statistics
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import Node, Store, http_answer, read_answer, read_head, run_case, wait_ready

ZONE, REGIONS = "zone-a", {"zone-a": "region-a"}
BOUNDS = {"repeat_ratio": 0.2, "repeat_slack": 56, "repeat_window_s": 10, "grace_s": 6, "advice_s": 5}
SERVICE, HOST, PATH = "booking", "vans.example", "/book/"
BODY_BYTES = 262_144  # the body_bytes limit of the site file
DRAWS = random.Random(int(os.environ.get("SEED", "1")))
# garble, how early: share of the replicas, x of their answers, for_s.
SHARE, X, FOR_S, PAUSE_S, ROUNDS = 0.5, 0.05, 5.0, 2.0, 11
READ_ON_S = 0.8
IDLE_S = 3  # after which a replica closes an idle connection, as it says in Keep-Alive
CLOSES = 0.1  # share of the answers after which it closes the connection, as they say
RATE = 80.0
# The objective is this multiple of the usual time at a replica, which the first seconds show.
OBJECTIVE_FACTOR, ROUND_TRIPS_MS, CALIBRATION_S = 3.0, 35, 6.0


def body_of(identity):
    unit = f"{identity}/".encode()
    return (unit * (BODY_BYTES // len(unit) + 1))[:BODY_BYTES]


class Replica:
    def __init__(self, name, record, found):
        self.name, self.record, self.found = name, record, found
        self.early, self.running, self.slots = False, 0, asyncio.Semaphore(4)
        self.took = []

    async def start(self):
        listener = socket.socket()
        # As on a network: segments of 1,460 bytes and a small window.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1460)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=8_192)
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]

    def entry(self):
        return {"service": SERVICE, "address": self.address, "zone": ZONE, "version": "v1",
                "maxConcurrency": 4, "state": "ready", "warmupLeftMs": 0, "sequence": 1,
                "born": 1_700_000_000_000}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader), IDLE_S)
                if head is None:
                    break
                await self.handle(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()

    async def handle(self, head, reader, writer):
        line, headers = head
        if line.split()[1] == "/health":
            writer.write(http_answer(200, [("Instance-Id", self.name)]))
            return
        start = time.monotonic()
        identity = headers.get("request-id", "?")
        echoed = [("Request-Id", identity), ("Server-Load", f"{self.running},0,4"), ("Keep-Alive", f"timeout={IDLE_S}")]
        length = int(headers.get("content-length", 0))
        if headers.get("expected-instance") != self.name:
            writer.write(http_answer(421, echoed + [("Not-Executed", "1")]))
            return await reader.readexactly(length) and None
        early = self.early and DRAWS.random() < X
        if early:
            self.record.write(f"{self.name} rejects {identity} before its body is in")
            writer.write(http_answer(503, echoed + [("Not-Executed", "1")]))
            await asyncio.sleep(READ_ON_S)
        body = await reader.readexactly(length)
        expected = body_of(identity)
        if body != expected:
            at = next(i for i in range(length) if body[i] != expected[i])
            text = body[at:at + 100]
            self.found.append(f"{self.name} got other bytes at {at} of the body of {identity}: {text!r}")
            self.record.write(self.found[-1])
        if early:
            return
        self.running += 1
        async with self.slots:
            self.record.write(f"{self.name} runs {identity}")
            await asyncio.sleep(max(0.02, DRAWS.gauss(0.15, 0.03)))
        self.running -= 1
        closes = DRAWS.random() < CLOSES
        echoed.append(("Connection", "close" if closes else "keep-alive"))
        writer.write(http_answer(200, echoed + [("Response-Stamp", f"{identity}.{self.name}")], b"done"))
        self.took.append(time.monotonic() - start)
        if closes:
            raise ConnectionError("closed as announced")


class Client:
    """Callers that keep their connections open for many requests."""

    def __init__(self, node, record):
        self.node, self.record, self.idle, self.statuses = node, record, [], {}

    async def send(self, identity):
        link = self.idle.pop() if self.idle else None
        try:
            reader, writer = link or await asyncio.open_connection("127.0.0.1", self.node.at["entry"])
            body = body_of(identity)
            head = (f"POST {PATH}{identity} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\n"
                    f"Request-Deadline: 4000\r\nContent-Length: {len(body)}\r\n\r\n")
            writer.write(head.encode() + body)
            answer = await asyncio.wait_for(read_answer(reader), 5)
        except (OSError, asyncio.TimeoutError):
            answer = None
        status = answer[0] if answer else None
        self.record.write(f"answer to {identity}: {status}")
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if answer and answer[1].get("connection") != "close":
            self.idle.append((reader, writer))


def config(version, objective_ms):
    return {
        "version": version,
        "routes": [{"name": "book", "hostname": HOST, "prefix": PATH, "routeType": "idempotent",
                    "timeoutMs": 4000, "targetLatencyMs": objective_ms, "attempts": 2, "priority": 1,
                    "service": SERVICE}],
        "services": [{"name": SERVICE, "healthCheckPath": "/health", "maxConnections": 41}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": BODY_BYTES, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}}


async def main(record, scratch, nodes, trouble):
    store, found = Store(record), []
    await store.start()
    replicas = [Replica(f"i-{n}", record, found) for n in range(10)]
    for replica in replicas:
        await replica.start()
        store.put_json(f"servers/{replica.name}", replica.entry())
    store.put_json("op/config", config(3, 2000))
    nodes += [Node(f"edge-{n}", ZONE, REGIONS, store, scratch, BOUNDS, True) for n in range(2)]
    for node in nodes:
        await node.start()
    await wait_ready(nodes)
    await asyncio.sleep(4)
    clients = [Client(node, record) for node in nodes]
    tasks, loop = [], asyncio.get_running_loop()

    async def send_for(length):
        end = loop.time() + length
        while loop.time() < end:
            identity = f"q{len(tasks)}"
            tasks.append(asyncio.create_task(clients[len(tasks) % 2].send(identity)))
            await asyncio.sleep(1 / RATE)

    await send_for(CALIBRATION_S)
    usual = statistics.median(took for replica in replicas for took in replica.took)
    objective = round(OBJECTIVE_FACTOR * usual * 1e3 + ROUND_TRIPS_MS)
    record.write(f"usual time at a replica {usual * 1e3:.0f} ms, objective {objective} ms")
    store.put_json("op/config", config(4, objective))
    await asyncio.sleep(1)
    for _ in range(ROUNDS):
        await send_for(PAUSE_S)
        for index, replica in enumerate(replicas):
            replica.early = trouble and index < SHARE * len(replicas)
        await send_for(FOR_S)
        for replica in replicas:
            replica.early = False
        if found:
            break
    await asyncio.gather(*tasks)
    for node, client in zip(nodes, clients):
        record.write(f"{node.name}: answers by status {client.statuses}")
    return found[0] if found else None


run_case(HERE, main)
