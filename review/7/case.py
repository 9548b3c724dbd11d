"""A removed worker gets requests long after fronts that were cut off reach the store again."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import standins as s

FRONTS = 1
WORKERS, EPISODES = 6, 13
CUT_S, REMOVED_BEFORE_HEAL_S, PAUSE_S = 2.5, 0.2, 4.4
DRAIN_S, STABLE_S = 2.0, 3.0
HOST = "ficu95.example"


class Plain(s.Worker):
    def __init__(self, *args, arrived, **more):
        super().__init__(*args, **more)
        self.arrived = arrived

    async def answer(self, request, reader, writer):
        self.arrived(self, request)
        await asyncio.sleep(0.01)
        writer.write(s.response(200, b"done", [
            ("X-Catkinmast-Request-Id", request.id()),
            ("X-Catkinmast-Server-Stamp", s.stamp(self, request))]))


async def main(record, trouble):
    sent, removed, healed_at = {}, {}, [0.0]
    late, statuses = [], {}

    def arrived(worker, request):
        if worker.id not in removed or request.id() not in sent:
            return
        front, sent_at = sent[request.id()]
        since_removal, since_heal = s.now() - removed[worker.id], sent_at - healed_at[0]
        if since_removal <= DRAIN_S:
            return
        in_touch = since_heal > STABLE_S and not cut_now[0]
        record(f"{request.id()} reaches {worker.id} by {front} {since_removal:.3f} s after its removal; sent "
               f"{since_heal:.3f} s after the fronts reached the store again{'' if in_touch else ' (not in touch)'}")
        if in_touch:
            late.append(request.id())

    async def lookups(name, number):
        n = 0
        while True:
            n += 1
            request = f"lookup-{name}-{number}-{n}"
            sent[request] = (name, s.now())
            headers = {"Host": HOST, "X-Catkinmast-Request-Id": request, "X-Catkinmast-Deadline-Ms": "1500"}
            try:
                status, _, _ = await s.call(site.callers(name), "POST", "/lookups/1", headers, b"x", 3.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = type(error).__name__
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(random.uniform(0.01, 0.04))

    cut_now = [False]
    site = s.Site(fronts=FRONTS)
    try:
        await site.start({"version": 1, "limits": s.limits(), "services": [s.plain_service("app")], "routes": [
            {"name": "r-lookups", "host": HOST, "prefix": "/lookups/", "kind": "idempotent", "priority": 2,
             "service": "app", "timeoutMs": 1500, "targetLatencyMs": 150, "attempts": 2}]})
        workers = [await Plain(site, "app", slots=6, arrived=arrived).start() for _ in range(WORKERS)]
        await site.wait_ready()
        await asyncio.sleep(4)
        tasks = [asyncio.create_task(lookups(name, n)) for name in site.fronts for n in range(8)]
        await asyncio.sleep(1)
        for _ in range(EPISODES):
            workers.append(await Plain(site, "app", slots=6, arrived=arrived).start())
            if trouble:
                record("all fronts are cut off from the store")
                cut_now[0] = True
                for name in site.fronts:
                    site.store.cut(name)
            await asyncio.sleep(CUT_S - REMOVED_BEFORE_HEAL_S)
            leaving = workers.pop(0)
            leaving.leave_registry()
            removed[leaving.id] = s.now()
            record(f"{leaving.id} is removed from the store and serves on")
            await asyncio.sleep(REMOVED_BEFORE_HEAL_S)
            if trouble:
                for name in site.fronts:
                    await site.store.heal(name)
                cut_now[0] = False
                record("all fronts reach the store again")
            healed_at[0] = s.now()
            await asyncio.sleep(PAUSE_S)
            leaving.stop()
        for task in tasks:
            task.cancel()
        for name in site.fronts:
            for event in site.events(name):
                if event.get("event") == "target_left":
                    record(f"{name}: target_left {event['target']} ({event['why']})")
    finally:
        site.close()
    record(f"answers: {statuses}")
    print(f"{len(late)} requests reached removed workers too late; answers {statuses}")
    for request in late[:20]:
        record(f"DRAIN: {request}")
    return not late


s.run(main, HERE)
