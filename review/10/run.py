"""A request that crashes each engine while it sends its answer is never refused.

The engine crashes once the head and the first bytes of its answer are out. The
request comes again and again, at any gateway, beside sound requests. Without
trouble the same request crashes nothing.
"""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import RECEIPT, Engine, call, configure, head_of, main  # noqa: E402

HOST, BAD_PATH = "portal.example", "/status/bad"
STABILITY_S, MAX_RETRIES = 4.0, 3
ANSWER_BYTES, SENT_BYTES = 800, 100     # 800 B out (sheet)


class PortalServer(Engine):
    """Crashes in the middle of its answer to the bad request."""

    crashes_on_bad = True

    async def handle(self, request):
        name = request.header("X-Camphornotch-Request-Id")
        expected = request.header("X-Camphornotch-Expected-Instance", self.name)
        if request.path != BAD_PATH or not self.crashes_on_bad or not name or expected != self.name:
            await super().handle(request)
            return
        self.runs.append((self.record.now(), name, request.path, 0))
        self.record("run", engine=self.name, id=name, path=request.path)
        await asyncio.sleep(0.02)
        request.channel.transport.write(head_of(200, {
            "Content-Length": ANSWER_BYTES, "Content-Type": "application/json",
            "X-Camphornotch-Request-Id": name, RECEIPT: f"r.{name}.{self.name}"}) + b"x" * SENT_BYTES)
        await asyncio.sleep(0.02)
        asyncio.get_running_loop().create_task(self.crash())


async def case(deployment, record, trouble):
    portal = []
    for _ in range(4):
        engine = await deployment.engine("portal", slots=6)
        engine.__class__ = PortalServer
        engine.listener.handler = engine.handle
        engine.work_s, engine.crash_for_s, engine.crashes_on_bad = 0.03, 1.5, trouble
        portal.append(engine)
    for _ in range(2):
        await deployment.engine("lm", ["m0"])
    configure(deployment.store, [
        {"name": "status", "host": HOST, "path_prefix": "/status/", "kind": "safe", "timeout_ms": 3000,
         "target_latency_ms": 400, "priority": 2, "attempts": 2, "service": "portal"},
    ], [
        {"name": "portal", "health_path": "/health", "connection_limit": 96, "protocol": "h1", "tls": False},
        {"name": "lm", "health_path": "/health", "connection_limit": 130, "protocol": "h1", "tls": False,
         "engine": {"slots": 8, "kv_cache_tokens": 46927, "models": [{"name": "m0"}]}}])
    nodes = [await deployment.gateway() for _ in range(3)]
    for node in nodes:
        if not await deployment.ready(node):
            print("could not run: a gateway is not ready")
            return 2
    await asyncio.sleep(1)
    numbers = iter(range(10 ** 9))
    stopping = asyncio.Event()
    served = [0, 0]

    async def ask(node, path):
        name = f"q{next(numbers)}"
        status = (await call(deployment.front(node), "GET", path, {
            "Host": HOST, "X-Camphornotch-Request-Id": name, "X-Camphornotch-Request-Deadline": 1200}, b"", 1.2))[0]
        return name, status

    async def other(number):
        while not stopping.is_set():
            _, status = await ask(random.choice(nodes), f"/status/{number}")
            served[0] += status == 200
            served[1] += 1
            await asyncio.sleep(random.expovariate(3))

    others = [asyncio.ensure_future(other(number)) for number in range(8)]
    await asyncio.sleep(2)
    third_crash, retries, answers, begin = None, [], [], record.now()
    while record.now() < begin + 40:
        at = record.now()
        node = nodes[next(numbers) % len(nodes)]
        name, status = await ask(node, BAD_PATH)
        await asyncio.sleep(0.3)
        reached = sum(1 for engine in portal for run in engine.runs if run[1] == name)
        crashes = sum(engine.crashes for engine in portal)
        answers.append(status)
        record("bad", id=name, node=node, status=status, engines=reached, crashes=crashes)
        if third_crash is not None and at > third_crash + STABILITY_S and reached:
            retries.append(name)
        if third_crash is None and crashes >= 3:
            third_crash = record.now()
        await asyncio.sleep(2.5)
    stopping.set()
    await asyncio.gather(*others)
    print(f"others: {served[0]} of {served[1]} served; the bad request was answered {sorted(set(answers))}; "
          f"engines crashed {sum(engine.crashes for engine in portal)} times; "
          f"its retries that reached engines later than stability_ms after the third crash: {len(retries)}")
    if served[0] < 100 or (trouble and third_crash is None):
        print("could not run: too few requests were served, or the request did not crash three engines")
        return 2
    if len(retries) > MAX_RETRIES:
        print("BUDGET: more than three retries")
        return 1
    return 0


main(case, os.path.dirname(os.path.abspath(__file__)))
