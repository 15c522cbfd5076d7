"""A request crashes replicas that start again under their ids, again and again."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from standins import (BOUNDS, Replica, ask, configuration, main, now, request_headers, route,
                      service)

REPLICAS = 2
# A replica that has crashed is back after some seconds.
BACK_AFTER_S = 2.5
CONTACT_S = BOUNDS["contactMs"] / 1e3
MAX_RETRIES = 3
DURATION_S = 60.0
DEADLY = "/hold/deadly"
# With IDS=new, a replica that starts again has a new id, as in the older page.
NEW_IDS = os.environ.get("IDS") == "new"


class Fragile(Replica):
    """Crashes when it begins to run the deadly request, and starts again some seconds later."""

    def prepare(self, is_deadly, seen):
        self.is_deadly, self.seen = is_deadly, seen

    def began(self, request):
        super().began(request)
        if request.target != DEADLY:
            return
        self.seen["runs"].append((now(), request.headers["request-id"], self.id))
        if self.is_deadly:
            self.seen["crashes"].append((now(), self.id))
            self.record.write("crashed", replica=self.id, born=self.born)
            asyncio.ensure_future(self._restart())

    async def _restart(self):
        self.crash()
        await asyncio.sleep(BACK_AFTER_S)
        if NEW_IDS:
            self.store.delete(f"servers/{self.id}")
            self.id = f"i-{random.getrandbits(32):08x}"
        await self.start()
        self.record.write("started", replica=self.id, born=self.born)


async def send(site, identity, target, seen):
    node = random.choice(site.nodes)
    site.record.write("sent", request=identity, node=node.name, target=target)
    answer = await ask(node.frontend, "GET", target, request_headers(identity, 4000), timeout=4.5)
    status = answer.status if answer else None
    retry = answer.headers.get("retry-after") if answer else None
    site.record.write("answered", request=identity, status=status, retry_after=retry)
    if target == DEADLY:
        seen["deadly"].append(status)
    else:
        seen["others"].append(status)
    return answer


async def deadly_caller(site, until, seen):
    """Sends the request, tries once more after a failure as clients do, and comes again."""
    count = 0
    while now() < until:
        for _ in range(2):
            count += 1
            answer = await send(site, f"dead{count:04x}{random.getrandbits(32):08x}", DEADLY, seen)
            if answer is not None and answer.status == 200:
                break
            wait = float(answer.headers.get("retry-after", "0")) if answer else 0.0
            await asyncio.sleep(min(wait, 1.3))
        await asyncio.sleep(4.0)


async def other_callers(site, until, seen):
    tasks = []
    while now() < until:
        identity = f"{random.getrandbits(64):016x}"
        tasks.append(asyncio.ensure_future(send(site, identity, f"/hold/{identity}", seen)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def case(site, trouble):
    routes = [route("hold-lookup", "/hold/", {"service": "room-hold"})]
    await site.start_store(configuration(7, routes, [service("room-hold")]))
    zones = ["cm-hall-a", "pk-hall-b", "bk-hall-c"]
    seen = {"runs": [], "crashes": [], "deadly": [], "others": []}
    replicas = [Fragile(site.store, "room-hold", zones[index], site.record)
                for index in range(REPLICAS)]
    for replica in replicas:
        replica.prepare(trouble, seen)
    await site.add_replicas(replicas)
    await site.start_nodes(zones)
    until = now() + DURATION_S
    await asyncio.gather(deadly_caller(site, until, seen), other_callers(site, until, seen))
    crashes = sorted(seen["crashes"])
    retries = set()
    if len(crashes) >= 3:
        late = crashes[2][0] + CONTACT_S
        retries = {identity for at, identity, _ in seen["runs"] if at > late}
    failed = sum(1 for status in seen["others"] if status != 200)
    site.record.say(f"the request was sent {len(seen['deadly'])} times and crashed a replica "
                    f"{len(crashes)} times ({len({one for _, one in crashes})} ids); "
                    f"{failed} of {len(seen['others'])} other requests failed")
    site.record.say(f"{len(retries)} retries reached replicas later than {CONTACT_S:.0f} s after "
                    f"the third crash; {MAX_RETRIES} are allowed")
    return len(retries) > MAX_RETRIES


main(HERE, case)
