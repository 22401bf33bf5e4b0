"""A case of the soak: a day of troubles, in series and overlapping, beside steady load."""
import asyncio
import json
import os
import signal
import time

import versions
from entries import ODD_VALUES, REPORT_FIELDS, put_odd_entries
from hosts import HOST, PORTAL_PATH, STREAM_PATH, call

DAY_S = 42
HEAD = b"HTTP/1.1 200 x\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
GARBAGE = [b"\x00\xff garbage\r\n\r\n", b"HTTP/1.1 99999 x\r\n\r\n", HEAD + b"a: b\r\n" * 9000, b"\r\n" * 50,
           HEAD + b"Content-Length: -1\r\n\r\n", CHUNKED + b"ffffffffffffffffff\r\nx", CHUNKED + b"-5\r\nid: x\r\n",
           HEAD + b"Content-Length: 99999999999999999999\r\n\r\nx", HEAD + b"Content-Length: 4\r\n\r\nnull"]


class Day:
    def __init__(self, hosts, luck):
        self.hosts, self.luck, self.held, self.tasks = hosts, luck, set(), []
        self.end, self.store_trouble, self.share = time.monotonic() + DAY_S, None, 0.0
        self.sound_store = hosts.store.handle
        for each in [hosts.store.listener] + hosts.store.listener.channels:
            each.handler = self.store
        self.config = json.loads(hosts.store.newest["keyed.op"]["config"][0])

    async def load(self):
        hosts, number = self.hosts, 0
        while time.monotonic() < self.end:
            number += 1
            node, path = self.luck.choice(hosts.gateways), self.luck.choice((PORTAL_PATH, STREAM_PATH))
            works = [hosts.keeps(node, self.luck, path) if number % 3 else hosts.serves(node, path)]
            if number % 9 == 0:
                works.append(call(hosts.front(node), "POST", f"{path}l", {
                    "Host": HOST, "X-Camphornotch-Request-Id": f"l{number}", "X-Camphornotch-Request-Deadline": 900,
                    "X-Camphornotch-Model": "m0"}, b"{}", timeout=self.luck.uniform(0.002, 0.2)))
            if number % 20 == 0:
                works.append(hosts.runs_rollouts(node))
            if number % 80 == 0:
                works.append(versions.submit(hosts, node, f"{number}lot", [f"{number}-{item}" for item in range(40)]))
                version = max(engine.versions["m0"] for engine in hosts.engines) + 1
                hosts.store.put("keyed.op", "version/m0", {"model": "m0", "version": version})
            self.tasks += [asyncio.ensure_future(work) for work in works]
            await asyncio.sleep(0.04)

    async def each(self, share, work, gap=0.0):
        """Plays work on a share of the hosts that no other trouble holds."""
        free = [node for node in self.hosts.nodes if node not in self.held]
        nodes = self.luck.sample(free, min(len(free), int(share * len(self.hosts.nodes))))
        self.held.update(nodes)
        for node in nodes:
            self.tasks.append(asyncio.ensure_future(work(node)))
            self.tasks[-1].add_done_callback(lambda _, node=node: self.held.discard(node))
            await asyncio.sleep(gap)

    async def reload(self, node):
        path = os.path.join(self.hosts.folder.name, node + ".ini")
        with open(path, encoding="utf-8") as file:
            text = file.read()
        fewer = "\n".join(line for line in text.split("\n") if self.luck.random() < 0.8)
        for written in (text[:len(text) // 2], fewer, "", text):
            self.hosts.write(path, written)
            self.hosts.signal(node, signal.SIGHUP)
            await asyncio.sleep(self.luck.choice((0.0, 0.01, 0.3, 1.0)))

    async def again(self, node, number):
        self.hosts.signal(node, number)
        if (code := await self.hosts.ended(node)) not in (0, -number):
            self.hosts.faults.append(f"FAULT {node}: code {code} after {number.name}")
        await asyncio.sleep(self.luck.choice((0.0, 0.2, 3.0)))
        await self.hosts.start(node)

    async def freeze(self, node):
        self.hosts.signal(node, signal.SIGSTOP)
        await asyncio.sleep(self.luck.uniform(0.5, 5.0))
        self.hosts.signal(node, signal.SIGCONT)

    async def scale(self):
        """Adds a gateway; another one is killed for good."""
        hosts, gone = self.hosts, self.luck.choice(self.hosts.gateways)
        ip, node = hosts.ip(), f"frontend-{hosts.machines}"
        hosts.settings[node] = ("gateway", hosts.values(node, ip, "zone-a", {}))
        await hosts.start(node)
        hosts.gateways.append(node)
        if gone not in self.held:
            hosts.gateways.remove(gone)
            await hosts.kill_all([gone])

    async def engine(self, kind):
        engine, delay = self.luck.choice(self.hosts.engines + self.hosts.portals), self.luck.uniform(0.0, 0.2)

        async def faulty(request):
            chance, garbage = self.luck.random() < 0.4, self.luck.choice(GARBAGE)
            if kind == "garbage" and chance:
                return request.channel.transport.write(garbage)
            if kind == "report" and request.path == "/-/report":
                return request.channel.answer(200, {name: self.luck.choice(ODD_VALUES) for name in REPORT_FIELDS})
            if kind in ("break", "second") and chance:
                asyncio.get_running_loop().call_later(delay, *(
                    (request.channel.reset,) if kind == "break" else (request.channel.transport.write, garbage)))
            await asyncio.sleep(1.5 if kind == "late" else 0.4 if kind == "slow" else 0)
            return await engine.handle(request)
        for each in [engine.listener] + engine.listener.channels:
            each.handler = faulty
        await (engine.crash() if kind == "crash" else asyncio.sleep(self.luck.uniform(1.0, 5.0)))
        for each in [engine.listener] + engine.listener.channels:
            each.handler = engine.handle

    async def store(self, request):
        request.channel.place = getattr(request.channel, "place", self.luck.random())
        kind = self.store_trouble if request.channel.place < self.share else None
        while kind == "silent" and self.store_trouble == kind:
            await asyncio.sleep(0.1)
        if kind == "busy":
            return request.channel.answer(503, {})
        await asyncio.sleep(0.4 if kind == "slow" else 0)
        if kind != "reset":
            await self.sound_store(request)
        return request.channel.reset() if kind in ("reset", "lost") else None

    async def store_fails(self, kind):
        self.store_trouble, self.share = kind, self.luck.choice((0.35, 1.0))
        await asyncio.sleep(self.luck.uniform(1.0, 5.0))
        self.store_trouble = None
        for part in self.hosts.store.partitions.values():  # The store forgets its history.
            gone = max(0, len(part.records) - 20)
            part.records, part.first = part.records[gone:], part.first + gone

    async def configure(self, routes):
        self.config["version"] += 1
        self.config["limits"]["idle_timeout_ms"] = self.luck.choice((1000, 15000))
        self.hosts.store.put("keyed.op", "config", dict(self.config, routes=self.config["routes"] + [
            dict(self.config["routes"][0], name=f"r{each}", path_prefix=f"/r{each}/") for each in range(routes)]))

    async def troubles(self):
        kinds = [(self.each, 0.6, self.reload), (self.each, 0.15, self.freeze), (self.scale,),
                 (self.each, 0.16, lambda node: self.again(node, signal.SIGKILL)),
                 (self.each, 0.45, lambda node: self.again(node, signal.SIGTERM), 1.0),
                 (self.configure, 0), (self.configure, 350)]
        kinds += [(put_odd_entries, self.hosts, self.luck, name) for name in ("i &+#%", "i-odd")]
        kinds += [(self.engine, kind) for kind in ("break", "second", "garbage", "report", "late", "slow", "crash")]
        kinds += [(self.store_fails, kind) for kind in ("silent", "busy", "reset", "slow", "lost")]
        dealt = []
        while time.monotonic() < self.end:
            dealt = dealt or self.luck.sample(kinds, len(kinds))
            work, *words = dealt.pop()
            self.tasks.append(asyncio.ensure_future(work(*words)))
            await asyncio.sleep(self.luck.choice((0.0, 0.3, 1.0, 2.0)))


async def whole_day(hosts, luck):
    """At the end all processes are killed and started again."""
    await hosts.start_all()
    first = await hosts.recovered(time.monotonic())
    day = Day(hosts, luck)
    await asyncio.gather(day.load(), day.troubles())
    # Tasks start tasks of their own.
    served = [answer for answer in [await task for task in day.tasks] if isinstance(answer, bool)]
    hosts.check_memory()
    await hosts.kill_all()
    await hosts.start_all()
    begin = time.monotonic()
    return (f"{first}; {sum(served)} of {len(served)} served; after the day: {await hosts.recovered(begin)} "
            f"{await hosts.served_later(begin)}")


CASES = [whole_day]
