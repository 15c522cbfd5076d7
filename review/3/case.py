"""The nodes are stopped and started in turn while requests run for two seconds."""

import asyncio
import json
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from standins import Node, Store, get, http_answer, read_answer, read_head, run_case, wait_ready

REGIONS = {"amman-sahab": "amman", "aqaba-port": "aqaba", "irbid-hassan": "irbid"}
GRACE_S = 6
BOUNDS = {"repeat_ratio": 0.2, "repeat_slack": 58, "repeat_window_s": 10, "grace_s": GRACE_S, "advice_s": 5}
SERVICE, HOST, PATH = "cold-audit", "vans.example", "/audit/"
DEADLINE_S = 15.0
TTL_MAX_S = 5
# roll_term: share 1.0 of the machines, x = 1 at a time, each gap_s.
GAP_S, RESTART_S = 1.0, 0.3
RATE, CALM_S, ROLLS, BETWEEN_S = 15.0, 6.0, 4, 12.0
EXCUSED_S = 3.0  # LOST excuses the last sixth of graceS only for requests sent until then
DRAWS = random.Random(1)


class Replica:
    def __init__(self, name, zone, record):
        self.name, self.zone, self.record = name, zone, record
        self.running, self.began, self.ended = 0, {}, {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                "maxConcurrency": 12, "state": "ready", "warmupLeftMs": 0, "sequence": 1,
                "born": 1_700_000_000_000}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                if line.split()[1] == "/health":
                    writer.write(http_answer(200, [("Instance-Id", self.name)]))
                    continue
                identity = headers.get("request-id", "?")
                echoed = [("Request-Id", identity), ("Server-Load", f"{self.running},0,12"),
                          ("Keep-Alive", "timeout=10")]
                if headers.get("expected-instance") != self.name:
                    writer.write(http_answer(421, echoed + [("Not-Executed", "1")]))
                    continue
                self.running += 1
                self.began[identity] = self.record.now()
                self.record.write(f"{self.name} runs {identity}")
                await asyncio.sleep(min(3.0, max(1.0, DRAWS.gauss(2.0, 0.3))))
                self.running -= 1
                self.ended[identity] = self.record.now()
                self.record.write(f"{self.name} has run {identity}")
                writer.write(http_answer(200, echoed + [("Response-Stamp", f"{identity}.{self.name}")], b"audit"))
        except ConnectionError:
            pass
        finally:
            writer.close()


class Client:
    """A caller: asks a directory which addresses to use, and keeps its connections open."""

    def __init__(self, zone, patience, machines, record):
        self.zone, self.patience, self.machines, self.record = zone, patience, machines, record
        self.addresses, self.until, self.failed, self.idle = [], 0.0, set(), []
        self.busy = False

    async def resolve(self):
        if self.record.now() < self.until:
            return
        target = f"/resolve?name={HOST}&region={REGIONS[self.zone]}&zone={self.zone}"
        nearest = sorted(self.machines, key=lambda machine: machine.zone != self.zone)
        for machine in nearest[:3]:
            answer = await get(machine.node.at["directory"], target)
            if answer is None or answer[0] != 200 or not json.loads(answer[2]).get("addrs"):
                continue
            advice = json.loads(answer[2])
            self.addresses = advice["addrs"]
            self.until = self.record.now() + self.patience * min(advice["ttl_s"], TTL_MAX_S)
            self.failed &= set(self.addresses)
            for address, link in [item for item in self.idle if item[0] not in self.addresses]:
                link[1].close()
            self.idle = [item for item in self.idle if item[0] in self.addresses]
            return
        # It could not obtain a new one and goes on with what it has.

    async def connect(self):
        if self.idle:
            return self.idle.pop()
        while True:
            usable = [address for address in self.addresses if address not in self.failed]
            if not usable:
                self.failed.clear()
                return None
            address = DRAWS.choice(usable)
            host, port = address.rsplit(":", 1)
            try:
                return address, await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            except (OSError, asyncio.TimeoutError):
                self.failed.add(address)

    async def send(self, identity, sent):
        self.busy = True
        try:
            await self.resolve()
            link = await self.connect()
            if link is None:
                self.record.write(f"{identity}: no address answers")
                return
            address, (reader, writer) = link
            writer.write((f"GET {PATH}{identity} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\n"
                          f"Request-Deadline: {int(DEADLINE_S * 1e3)}\r\n\r\n").encode())
            at = self.record.now()
            self.record.write(f"{identity} sent to {address}")
            try:
                answer = await asyncio.wait_for(read_answer(reader), DEADLINE_S)
            except (OSError, asyncio.TimeoutError):
                answer = None
            outcome = answer[0] if answer else "closed"
            self.record.write(f"{identity} from {address}: {outcome}")
            sent[identity] = (address, at, self.record.now(), outcome)
            if answer and answer[1].get("connection") != "close":
                self.idle.append((address, (reader, writer)))
            else:
                writer.close()
            if answer is None:
                self.failed.add(address)
        finally:
            self.busy = False


class Machine:
    """A machine of the system, whose process the platform stops and starts again."""

    def __init__(self, zone, store, scratch, nodes, record):
        self.zone, self.store, self.scratch, self.record = zone, store, scratch, record
        self.node = Node(f"edge-{zone}-1", zone, REGIONS, store, scratch, BOUNDS, True)
        nodes.append(self.node)
        self.stops = []

    async def roll(self):
        self.stops.append(self.record.now())
        self.record.write(f"SIGTERM to {self.node.name} at 127.0.0.1:{self.node.at['entry']}")
        self.node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.node.process.wait(), GRACE_S)
            self.record.write(f"{self.node.name} has ended with {self.node.process.returncode}")
        except asyncio.TimeoutError:
            self.record.write(f"SIGKILL to {self.node.name}")
            self.node.signal(signal.SIGKILL)
            await self.node.process.wait()
        await asyncio.sleep(RESTART_S)
        with open(self.node.settings) as file:
            text = file.read()
        with open(self.node.settings, "w") as file:
            file.write(text.replace("first_start = true", "first_start = false"))
        await self.node.start()


async def main(record, scratch, nodes, trouble):
    store = Store(record)
    await store.start()
    replicas = [Replica(f"i-{n}", zone, record) for n, zone in enumerate(list(REGIONS) * 2)]
    for replica in replicas:
        await replica.start()
        store.put_json(f"servers/{replica.name}", replica.entry())
    store.put_json("op/config", {
        "version": 3,
        "routes": [{"name": "audit", "hostname": HOST, "prefix": PATH, "routeType": "idempotent",
                    "timeoutMs": 15000, "targetLatencyMs": 8000, "attempts": 2, "priority": 2,
                    "service": SERVICE}],
        "services": [{"name": SERVICE, "healthCheckPath": "/health", "maxConnections": 110}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000}})
    machines = [Machine(zone, store, scratch, nodes, record) for zone in REGIONS]
    for node in nodes:
        await node.start()
    await wait_ready(nodes)
    await asyncio.sleep(CALM_S)
    # Some keep an answer of the directory three times as long as it says.
    clients = [Client(zone, 3 if n % 4 == 0 else 1, machines, record)
               for zone in REGIONS for n in range(20)]
    sent, tasks = {}, []

    async def load():
        while True:
            free = [client for client in clients if not client.busy]
            if free:
                client = DRAWS.choice(free)
                tasks.append(asyncio.create_task(client.send(f"q{len(tasks)}", sent)))
            await asyncio.sleep(1 / RATE)

    loading = asyncio.create_task(load())
    await asyncio.sleep(3)
    for _ in range(ROLLS):
        rolls = []
        for machine in machines:
            if trouble:
                rolls.append(asyncio.create_task(machine.roll()))
            await asyncio.sleep(GAP_S)
        if rolls:
            await asyncio.gather(*rolls)
        await asyncio.sleep(BETWEEN_S)
    loading.cancel()
    await asyncio.wait(tasks, timeout=4)
    began = {}
    for replica in replicas:
        began.update(replica.began)
    lost, excused = [], []
    for identity, (address, at, ended, outcome) in sent.items():
        if outcome != "closed" or identity not in began or ended - at >= DEADLINE_S:
            continue
        stops = [stop for machine in machines for stop in machine.stops
                 if address.endswith(f":{machine.node.at['entry']}") and stop <= ended <= stop + GRACE_S + 1]
        for stop in stops:
            (lost if at - stop > EXCUSED_S else excused).append((identity, round(at - stop, 2), round(ended - stop, 2)))
    record.write(f"{len(sent)} requests; cut though passed on, sent up to {EXCUSED_S} s after the "
                 f"SIGTERM, which the rule may excuse: {excused}")
    record.write("cut though passed on, sent later than that (request, sent and cut so long after "
                 f"the SIGTERM): {lost}")
    return f"{len(lost)} requests were passed on and cut" if lost else None


run_case(HERE, main)
