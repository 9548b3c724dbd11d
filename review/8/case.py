"""An item that can never be done is sent again and again when the owners of its batch are killed."""

import asyncio
import json
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import standins as s

FRONTS, KILLS = 6, 3
HOST, MODEL = "ficu95.example", "daka510000"


def owner(site, lot):
    """The live front that has opened the lot last, by the fronts' logs."""
    found = [(event["at_ms"], name) for name in site.fronts for event in site.events(name)
             if event.get("event") == "batch_owned" and event.get("request") == lot]
    found = [(at, name) for at, name in found if site.fronts[name]["process"].poll() is None]
    return max(found)[1] if found else None


async def main(record, trouble):
    lot = f"lot-{random.getrandbits(48):012x}"
    items = {"item-never": (422,), "item-long": 220}
    reached, kills = [], []

    def seen(worker, request, after):
        record(f"{worker.id} gets {request.id()} after event {after}")
        if request.id() == "item-never":
            reached.append(s.now())

    site = s.Site(fronts=FRONTS)
    try:
        await site.start({"version": 1, "limits": s.limits(), "services": [s.engine_service("llm", [MODEL])],
                          "routes": [{"name": "r-lots", "host": HOST, "prefix": "/lots/", "kind": "rollout",
                                      "priority": 1, "service": "llm", "targetLatencyMs": 400,
                                      "timeoutMs": 10000, "runTargetMs": 7500, "attempts": 3,
                                      "maxWaitS": 40}]})
        for _ in range(3):
            await s.Engine(site, "llm", slots=8, models=[MODEL], items=items, seen=seen).start()
        await site.wait_ready()
        await asyncio.sleep(4)
        body = json.dumps({"step": 0, "model": MODEL, "minVersion": 1, "targetGroups": 1, "items": [
            s.lot_item(item, f"/lots/3/{item}", MODEL, "group-1") for item in items]}).encode()
        headers = {"Host": HOST, s.REQUEST_ID: lot, "Content-Type": "application/json"}
        status, _, _ = await s.call(site.callers(random.choice(list(site.fronts))), "POST", "/lots/1", headers, body)
        record(f"submission answered {status}")
        if status != 202:
            raise s.CannotRun(f"the submission was answered {status}")
        if trouble:
            for number in range(KILLS):
                until = s.now() + 6
                while len(reached) <= number and s.now() < until:
                    await asyncio.sleep(0.02)
                await asyncio.sleep(0.25)
                name = owner(site, lot)
                if name is None:
                    break
                record(f"{name} is removed for good with SIGKILL")
                site.kill_front(name)
                kills.append((s.now(), name))
        await asyncio.sleep(12)
        for name in [n for n in site.fronts if site.fronts[n]["process"].poll() is None]:
            try:
                status, _, body = await s.call(site.callers(name), "GET", f"/-/lots/{lot}?after=0", {"Host": HOST})
                record(f"read at {name}: {status} {body[:300]}")
                break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
        senders = [(event["at_ms"], name) for name in site.fronts for event in site.events(name)
                   if event.get("event") == "item_run" and event.get("request") == "item-never"]
        record(f"sent by {senders}")
    finally:
        site.close()
    record(f"{len(reached)} answers of 422")
    print(f"{len(reached)} answers of 422 after {len(kills)} kills")
    killed = {name for _, name in kills}
    calm = [name for _, name in sorted(senders)[3:] if name not in killed]
    if len(reached) > 3:
        record(f"BUDGET: item-never reached a worker {len(reached)} times; after the third 422 from {calm}, "
               "which ran all the while")
    return not (len(reached) > 3 and calm)


s.run(main, HERE)
