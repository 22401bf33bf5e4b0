"""A request that crashes engines is refused everywhere, until the gateways are
restarted in turn: a new process knows nothing of it, and nobody tells it.

Without trouble no gateway is restarted.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
from standins import call, configure, main  # noqa: E402

HOST = "desk.example"
STABILITY_S = 4.0                # bound: stability_ms
GATEWAYS, MAX_RETRIES = 4, 3


async def case(deployment, record, trouble):
    store = deployment.store
    desk = [await deployment.engine("desk", slots=6) for _ in range(6)]
    for engine in desk:
        engine.poison, engine.crash_for_s = "/desk/poison", 2.0
    for _ in range(2):
        await deployment.engine("lm", ["m0"])
    configure(store, [
        {"name": "desk", "host": HOST, "path_prefix": "/desk/", "kind": "safe", "timeout_ms": 3000,
         "target_latency_ms": 200, "priority": 2, "attempts": 2, "service": "desk"},
    ], [
        {"name": "desk", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": False},
        {"name": "lm", "health_path": "/health", "connection_limit": 150, "protocol": "h1", "tls": False,
         "engine": {"slots": 8, "kv_cache_tokens": 96234, "models": [{"name": "m0"}]}}])
    nodes = [await deployment.gateway() for _ in range(GATEWAYS)]
    for node in nodes:
        if not await deployment.ready(node):
            print("could not run: a gateway is not ready")
            return 2
    await asyncio.sleep(2)
    number = 0
    third_crash = None
    retries = []

    async def send(node, path):
        """One client attempt. @return the engines' crashes by it."""
        nonlocal number, third_crash
        number += 1
        name = f"q{number}"
        begin = record.now()
        status = (await call(deployment.front(node), "POST", path, {
            "Host": HOST, "X-Camphornotch-Request-Id": name, "X-Camphornotch-Request-Deadline": 3000}, b"same body"))[0]
        await asyncio.sleep(0.3)
        reached = sum(1 for engine in desk for run in engine.runs if run[1] == name)
        record("sent", id=name, path=path, node=node, status=status, engines=reached)
        if path == "/desk/poison" and reached:
            crashes = sum(engine.crashes for engine in desk)
            if third_crash is None and crashes >= 3:
                third_crash = record.now()
            elif third_crash is not None and begin > third_crash + STABILITY_S:
                retries.append((name, node, reached))
        return reached

    # The request comes until it has crashed three engines.
    for index in range(6):
        if third_crash is None:
            await send(nodes[index % GATEWAYS], "/desk/poison")
            await asyncio.sleep(0.7)
    if third_crash is None:
        print("could not run: it did not crash three engines")
        return 2
    await asyncio.sleep(STABILITY_S + 0.5)
    for node in nodes:
        if await send(node, "/desk/poison"):
            record("note", text=f"{node} still passes it on")

    # The gateways are stopped and started in turn. Each gets the request again
    # once its machine has been calm for stability_ms.
    for node in nodes:
        if trouble:
            await deployment.stop(node)
            await deployment.start(node)
            if not await deployment.ready(node):
                print("could not run: a gateway did not come back")
                return 2
        await asyncio.sleep(STABILITY_S + 1.0)
        for _ in range(2):
            await send(node, "/desk/poison")
            await asyncio.sleep(2.5)
    if not await send(nodes[0], "/desk/fine"):
        print("could not run: no engine serves")
        return 2
    print(f"retries that reached engines later than stability_ms after the third crash: "
          f"{[f'{name} by {node}: {reached} engines' for name, node, reached in retries]}; "
          f"engines crashed {sum(engine.crashes for engine in desk)} times")
    if len(retries) > MAX_RETRIES:
        print(f"BUDGET: {len(retries)} retries, more than three")
        return 1
    return 0


main(case, os.path.dirname(os.path.abspath(__file__)))
