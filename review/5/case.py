"""A reward call reaches its worker long after its batch's end was acknowledged."""

import asyncio
import base64
import json
import os
import random
import signal
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import standins as s

FRONTS, TRIALS, LOTS = 6, 6, 4
DOWN_S = 4.5
FREEZE_BEFORE_S, FIRST_FREEZE_S, BETWEEN_S, SECOND_FREEZE_S = 1.3, 1.8, 2.0, 3.2
CANCEL_S, STABLE_S = 3.0, 3.0
HOST, MODEL = "ficu95.example", "daka510000"


class SilentStore(s.Store):
    """A store that can stop answering: calls of that time are neither carried out nor answered.

    Leases pause meanwhile.
    """

    down = False

    async def answer(self, request):
        if self.down:
            while self.down:
                await asyncio.sleep(0.02)
            raise ConnectionError("the call was made while the store was down")
        return await super().answer(request)

    def put_json(self, key, value):
        if not self.down:
            super().put_json(key, value)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                self.leases = {i: (until + 0.02, ttl) for i, (until, ttl) in self.leases.items()}
                continue
            for lease in [i for i, (until, _) in self.leases.items() if until <= s.now()]:
                self.end_lease(lease)


class Scorer(s.Worker):
    def __init__(self, *args, scored, **more):
        super().__init__(*args, **more)
        self.scored = scored

    async def answer(self, request, reader, writer):
        self.scored(self, request)
        await asyncio.sleep(0.02)
        writer.write(s.response(200, b"", [("X-Catkinmast-Request-Id", request.id()),
                                           ("X-Catkinmast-Server-Stamp", s.stamp(self, request))]))


def owner(site, lot):
    found = [(event["at_ms"], name) for name in site.fronts for event in site.events(name)
             if event.get("event") == "batch_owned" and event.get("request") == lot]
    return max(found)[1] if found else None


async def main(record, trouble):
    items, ended, healed_at, late = {}, {}, [0.0], []

    def arrived(what, worker, request, lot):
        record(f"{what} {request.id()} reaches {worker.id}")
        if lot in ended and s.now() - ended[lot] > CANCEL_S:
            after_end, after_heal = s.now() - ended[lot], s.now() - healed_at[0]
            record(f"{what} {request.id()} reaches {worker.id} {after_end:.3f} s after the ack of the end, "
                   f"{after_heal:.3f} s after the last disruption")
            if after_heal > STABLE_S:
                late.append(request.id())

    def seen(worker, request, after):
        arrived(f"after event {after}, item", worker, request, request.id().split("_")[0])

    def scored(worker, request):
        arrived("reward call", worker, request, request.id().split("_")[0])

    site = s.Site(fronts=FRONTS)
    site.store = SilentStore()
    lots = []

    async def submit():
        lot = f"lot-{random.getrandbits(48):012x}"
        entries = []
        for name in [f"{lot}_{n}" for n in range(2)]:
            items[name] = 330
            entry = s.lot_item(name, f"/lots/3/{name}", MODEL, "group-1", 900)
            entry["scorerUrl"] = {"id": f"{name}r", "host": HOST, "path": f"/rewards/{name}",
                                  "body": base64.b64encode(b"score").decode()}
            entries.append(entry)
        body = json.dumps({"step": len(lots), "model": MODEL, "minVersion": 1, "targetGroups": 1,
                           "items": entries}).encode()
        headers = {"Host": HOST, s.REQUEST_ID: lot, "Content-Type": "application/json"}
        status, _, _ = await s.call(site.callers("front-zone-a-1"), "POST", "/lots/1", headers, body)
        if status != 202:
            raise s.CannotRun(f"the submission was answered {status}")
        record(f"{lot} is accepted")
        return lot

    async def end(lot):
        for attempt in range(20):
            name = random.choice(list(site.fronts))
            headers = {"Host": HOST, s.REQUEST_ID: f"{lot}-e{attempt}"}
            try:
                status, _, _ = await s.call(site.callers(name), "DELETE", f"/-/lots/{lot}", headers)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                ended[lot] = s.now()
                return record(f"the end of {lot} is acknowledged")
            await asyncio.sleep(0.2)
        raise s.CannotRun(f"the end was answered {status}")

    try:
        service = s.engine_service("llm", [MODEL])
        await site.start({"version": 1, "limits": s.limits(), "services": [s.plain_service("app"), service],
                          "routes": [
            {"name": "r-rewards", "host": HOST, "prefix": "/rewards/", "kind": "idempotent", "priority": 1,
             "service": "app", "timeoutMs": 3000, "targetLatencyMs": 150, "attempts": 3},
            {"name": "r-lots", "host": HOST, "prefix": "/lots/", "kind": "rollout", "priority": 1,
             "service": "llm", "targetLatencyMs": 400, "timeoutMs": 10000, "runTargetMs": 7500,
             "attempts": 3, "maxWaitS": 40}]})
        for _ in range(6):
            await s.Engine(site, "llm", slots=8, models=[MODEL], items=items, seen=seen).start()
        for _ in range(2):
            await Scorer(site, "app", slots=8, scored=scored).start()
        await site.wait_ready()
        await asyncio.sleep(4)
        for _ in range(TRIALS):
            if late:
                break
            opened = []
            for _ in range(LOTS):
                opened.append(await submit())
                await asyncio.sleep(0.15)
            lots.extend(opened)
            await asyncio.sleep(1.8)
            if trouble:
                name = owner(site, opened[0])
                process = site.fronts[name]["process"]

                def freeze(on):
                    process.send_signal(signal.SIGSTOP if on else signal.SIGCONT)
                    record(f"{name}, the owner, is {'frozen' if on else 'continued'}")

                async def outage():
                    await asyncio.sleep(FREEZE_BEFORE_S)
                    site.store.down = True
                    record("the store is down (silent)")
                    await asyncio.sleep(DOWN_S)
                    site.store.down = False
                    record("the store answers again")

                outage_task = asyncio.create_task(outage())
                freeze(True)
                await asyncio.sleep(FIRST_FREEZE_S)
                freeze(False)
                await asyncio.sleep(BETWEEN_S)
                freeze(True)
                await asyncio.sleep(SECOND_FREEZE_S)
                freeze(False)
                await outage_task
            healed_at[0] = s.now()
            await asyncio.sleep(0.7)
            for lot in opened:
                await end(lot)
            await asyncio.sleep(7.5)
        for name in site.fronts:
            for event in site.events(name):
                if event.get("request") in lots and event.get("event", "").startswith("batch_"):
                    record(f"{name} {event['at_ms']} {event['event']} {event.get('why', '')} {event['request']}")
    finally:
        site.close()
    print(f"{len(late)} late arrivals in {len(lots)} batches")
    for request in late:
        record(f"UNASKED: {request}")
    return not late


s.run(main, HERE)
