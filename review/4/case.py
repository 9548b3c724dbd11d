"""A non-idempotent request runs more than once after a worker has sent a refusal twice."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
import standins as s

WORKERS, GARBLING = 3, 1
SLOTS = 2
GARBLE_SHARE = 0.03
WINDOW_S, PAUSE_S, WINDOWS = 5.0, 2.0, 10
REPORT_MS, ORDER_MS, LOOKUP_MS = 250, 60, 10
REPORT_CALLERS, LOOKUP_CALLERS = 5, 4
HOST = "ficu95.example"


class Engine(s.Worker):
    """A worker with `slots` and no queue: a full one answers 503 with `X-Catkinmast-Not-Run`.

    While it garbles, it sends at most `GARBLE_SHARE` of its answers a second time, at the point
    where the next answer on that channel is expected. It does so with refusals of orders.
    """

    garbles = False
    answers = window_answers = window_garbled = 0

    def __init__(self, *args, case, **more):
        super().__init__(*args, **more)
        self.case, self.running = case, 0
        self.extra = {}

    async def answer(self, request, reader, writer):
        late = self.extra.pop(writer, None)
        if late is not None:
            writer.write(late)
            self.case.record(f"extra answer from {self.id} before that to {request.id()}")
        if self.running >= self.slots:
            self.send(request, writer, s.response(503, b"", [
                (s.NOT_RUN, "1"), ("X-Catkinmast-Request-Id", request.id())]))
            return
        self.running += 1
        self.case.ran(self, request)
        try:
            work_ms = {"/orders/1": ORDER_MS, "/reports/1": REPORT_MS}.get(request.path, LOOKUP_MS)
            await asyncio.sleep(work_ms / 1000)
        finally:
            self.running -= 1
        self.send(request, writer, s.response(200, b"done", [
            ("X-Catkinmast-Request-Id", request.id()),
            ("X-Catkinmast-Server-Stamp", s.stamp(self, request))]))

    def send(self, request, writer, answer):
        writer.write(answer)
        self.answers += 1
        self.window_answers += 1
        is_refusal = answer.startswith(b"HTTP/1.1 503") and request.path.startswith("/orders/")
        within_share = self.window_garbled + 1 <= GARBLE_SHARE * self.window_answers
        if self.garbles and is_refusal and within_share:
            self.window_garbled += 1
            self.case.garbled += 1
            self.extra[writer] = answer
            self.case.record(f"{self.id} refuses {request.id()} and will send that answer again")

    def garble(self, garbles):
        self.garbles = garbles
        self.window_answers = self.window_garbled = 0


class Case:
    def __init__(self, record, trouble):
        self.record, self.trouble = record, trouble
        self.runs, self.answers = {}, {}
        self.garbled = 0

    def ran(self, worker, request):
        if request.path.startswith("/orders/"):
            self.runs.setdefault(request.id(), []).append(worker.id)
            self.record(f"{worker.id} runs {request.id()}")

    async def reports(self, site, name):
        """Idempotent requests that keep the workers busy."""
        n = 0
        while True:
            n += 1
            headers = {"Host": HOST, "X-Catkinmast-Request-Id": f"report-{id(asyncio.current_task()):x}-{n}",
                       "X-Catkinmast-Deadline-Ms": "3000"}
            try:
                await s.call(site.callers(name), "POST", "/reports/1", headers, b"x", 4.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(random.uniform(0, 0.1))

    async def orders(self, site, name, number):
        """Non-idempotent requests, one after the other, none of them repeated."""
        n = 0
        while True:
            n += 1
            request = f"order-{number}-{n}"
            headers = {"Host": HOST, "X-Catkinmast-Request-Id": request, "X-Catkinmast-Deadline-Ms": "2000"}
            try:
                status, _, _ = await s.call(site.callers(name), "POST", "/orders/1", headers, b"x", 4.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                status = repr(error)
            self.answers[request] = status
            self.record(f"{request} answered {status}")
            await asyncio.sleep(0.3)

    async def lookups(self, site, name):
        """Short idempotent requests."""
        n = 0
        while True:
            n += 1
            headers = {"Host": HOST, "X-Catkinmast-Request-Id": f"lookup-{id(asyncio.current_task()):x}-{n}",
                       "X-Catkinmast-Deadline-Ms": "1500"}
            try:
                await s.call(site.callers(name), "POST", "/lookups/1", headers, b"x", 3.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(random.uniform(0, 0.02))


async def main(record, trouble):
    case = Case(record, trouble)
    site = s.Site(fronts=3)
    try:
        route = {"host": HOST, "priority": 2, "service": "llm", "targetLatencyMs": 800}
        await site.start({"version": 1, "limits": s.limits(), "services": [s.engine_service("llm", ["m0"], SLOTS)],
                          "routes": [
            dict(route, name="r-orders", prefix="/orders/", kind="non_idempotent", timeoutMs=2000, attempts=3),
            dict(route, name="r-lookups", prefix="/lookups/", kind="idempotent", timeoutMs=1500, attempts=2,
                 targetLatencyMs=150),
            dict(route, name="r-reports", prefix="/reports/", kind="idempotent", timeoutMs=3000, attempts=2)]})
        workers = [await Engine(site, "llm", SLOTS, models=["m0"], case=case).start() for _ in range(WORKERS)]
        await site.wait_ready()
        await asyncio.sleep(2)
        first, *others = site.fronts
        tasks = [asyncio.create_task(case.orders(site, first, 0))]
        for name in others:
            tasks += [asyncio.create_task(case.reports(site, name)) for _ in range(REPORT_CALLERS)]
            tasks += [asyncio.create_task(case.lookups(site, name)) for _ in range(LOOKUP_CALLERS)]
        await asyncio.sleep(3)
        for _ in range(WINDOWS):
            for worker in workers[:GARBLING]:
                worker.garble(trouble)
            await asyncio.sleep(WINDOW_S)
            for worker in workers:
                worker.garble(False)
            await asyncio.sleep(PAUSE_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(1)
    finally:
        site.close()
    twice = {r: w for r, w in case.runs.items() if len(w) > 1}
    refused = {r: case.answers[r] for r in case.runs if case.answers.get(r) in (429, 503, 408, 421)}
    statuses = {}
    for status in case.answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    record(f"{len(case.answers)} orders answered {statuses}, {len(case.runs)} ran; "
           f"answers of all workers: {[w.answers for w in workers]}, "
           f"sent twice {case.garbled}")
    for request, where in twice.items():
        record(f"TWICE: {request} ran {len(where)} times at {where}, answered {case.answers.get(request)}")
    for request, status in refused.items():
        record(f"REFUSED: {request} ran and was answered {status}")
    print(f"{len(twice)} ran more than once, {len(refused)} refused though run")
    return not twice and not refused


s.run(main, HERE)
