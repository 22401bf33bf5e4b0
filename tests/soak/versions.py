"""Cases of the soak: engines of two software versions serve one service.

Each event carries the version of the engine that made it. A stream, over all of
its client's tries, and the text of an item hold events of one version only.
"""
import asyncio
import base64
import collections
import json
import signal
import time

from hosts import HOST, ROLLOUT_PATH, STREAM_PATH, call
from standins import Engine, Listener

VERSIONS = ("v1", "v2")
# Streams that may hold events of two versions: an engine that comes back under
# its id with another version, before its entry says so.
MAX_MIXED = 2
# Part of the share of new streams that begin.
MIN_RESUMED_PART = 0.5


class VersionedEngine(Engine):
    """An engine that writes its software version into each event."""

    software = VERSIONS[0]

    def entry(self):
        return dict(super().entry(), version=self.software)

    async def stream(self, request, channel, name, echo, last):
        model = request.header("X-Camphornotch-Model")
        channel.start_stream(dict(echo, **{"X-Camphornotch-Response-Signature": f"r.{name}.{self.name}",
                                           "X-Camphornotch-Weight-Versions": self.versions.get(model, 1)}))
        for number in range(last + 1, self.events + 1):
            closed = asyncio.ensure_future(channel.closed.wait())
            await asyncio.wait([closed], timeout=self.event_s)
            if channel.closed.is_set():
                return
            closed.cancel()
            channel.chunk(f"id: {number}\ndata: {number}.{self.software}\n\n".encode())
        channel.end_stream()


def make_versioned(hosts):
    """Every other engine has the newer version."""
    for index, engine in enumerate(hosts.engines):
        engine.__class__ = VersionedEngine
        engine.listener.handler = engine.handle
        engine.software = VERSIONS[index % 2]
        engine.events, engine.event_s, engine.crash_for_s = 30, 0.03, 1.0
        hosts.store.put("keyed.servers", engine.name, engine.entry())


async def read_stream(address, path, headers, limit_s=4.0):
    """One client attempt. @return (status, events as (id, version), whether it is complete)."""
    events, status, writer, complete = [], 0, None, False
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
        lines = [f"POST {path} HTTP/1.1", "Content-Length: 2"] + [f"{key}: {value}" for key, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n{}").encode())

        async def exchange():
            nonlocal status, complete
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            if "chunked" not in head.lower():
                return
            text = b""
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                text += (await reader.readexactly(size + 2))[:-2]
                *whole, text = text.split(b"\n\n")
                for each in whole:
                    fields = dict(line.split(": ", 1) for line in each.decode().split("\n") if ": " in line)
                    events.append((int(fields["id"]), fields["data"].split(".")[1]))
            complete = True
        await asyncio.wait_for(exchange(), limit_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return status, events, complete


class Streams:
    """Clients that take their streams up again, and what came of them."""

    def __init__(self, hosts, luck):
        self.hosts, self.luck = hosts, luck
        self.count = collections.Counter()
        self.tasks = []
        self.dead = set()          # gateways that are away

    def gateway(self):
        return self.luck.choice([node for node in self.hosts.gateways if node not in self.dead])

    async def one(self, cut_after):
        """A stream; the client leaves its first try after cut_after seconds."""
        hosts = self.hosts
        hosts.sent += 1
        first = f"s{hosts.sent}"
        headers = {"Host": HOST, "X-Camphornotch-Model": "m0", "X-Camphornotch-Token-Usage": "10,40",
                   "X-Camphornotch-Prompt-Prefix": f"{hosts.sent:x}:10", "X-Camphornotch-Request-Deadline": 4000,
                   "X-Camphornotch-Request-Id": first}
        status, events, complete = await read_stream(hosts.front(self.gateway()), f"{STREAM_PATH}{first}", headers,
                                                     cut_after)
        self.count["begun" if events else "not begun"] += 1
        self.check(first, events)
        tries = 0
        while events and not complete and tries < 3:
            tries += 1
            headers |= {"X-Camphornotch-Request-Id": f"{first}-{tries}", "Resumes": first,
                        "Last-Event-Id": events[-1][0]}
            status, more, complete = await read_stream(hosts.front(self.gateway()), f"{STREAM_PATH}{first}", headers)
            hosts.record("taken-up", id=first, attempt=tries, status=status, events=len(more))
            if tries == 1:
                self.count["taken up"] += 1
                self.count["gone on"] += 1 if more or complete else 0
            if more and more[0][0] != events[-1][0] + 1:
                hosts.faults.append(f"ORDER {first}: event {more[0][0]} after {events[-1][0]}")
            events += more
            self.check(first, events)
            if not more:
                await asyncio.sleep(0.3)

    def check(self, name, events):
        if len({version for _, version in events}) > 1:
            self.count["mixed " + name] = 1

    async def run(self, seconds, cut):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            cut_after = self.luck.uniform(0.1, 0.9) if cut and self.luck.random() < 0.4 else 4.0
            self.tasks.append(asyncio.ensure_future(self.one(cut_after)))
            await asyncio.sleep(0.04)
        await asyncio.gather(*self.tasks)

    def report(self):
        mixed = sum(1 for name in self.count if name.startswith("mixed "))
        begun, taken = self.count["begun"], self.count["taken up"]
        share = begun / max(begun + self.count["not begun"], 1)
        gone_on = self.count["gone on"] / max(taken, 1)
        if mixed > MAX_MIXED:
            self.hosts.faults.append(f"ORDER {mixed} of {begun} streams hold events of two versions")
        if taken >= 12 and gone_on < MIN_RESUMED_PART * share:
            self.hosts.faults.append(f"LOST {self.count['gone on']} of {taken} streams went on, {share:.2f} began")
        return f"{begun} begun, {taken} taken up, {self.count['gone on']} went on, {mixed} mixed"


async def crash_engines(hosts, luck, seconds, pause_s):
    """One engine after the other, so that two of each version always serve."""
    end = time.monotonic() + seconds
    crashes = []
    while time.monotonic() < end:
        crashes.append(asyncio.ensure_future(luck.choice(hosts.engines).crash()))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*crashes)


async def begin(hosts):
    make_versioned(hosts)
    await hosts.start_all()
    await hosts.recovered(time.monotonic())


async def streams_beside(hosts, luck, trouble, seconds=8, cut=True):
    """Streams, taken up by their clients if cut, beside trouble(streams)."""
    await begin(hosts)
    streams = Streams(hosts, luck)
    await asyncio.gather(streams.run(seconds, cut), trouble(streams))
    return streams.report()


async def streams_beside_crashes(hosts, luck):
    """Engines crash, one every 0.4 s; each answer and each stream is checked."""
    return await streams_beside(hosts, luck, lambda _: crash_engines(hosts, luck, 10, 0.4), seconds=10, cut=False)


async def streams_taken_up(hosts, luck):
    """Clients leave their first try and go on at any gateway."""
    return await streams_beside(hosts, luck, lambda _: asyncio.sleep(0), seconds=10)


async def streams_across_gateways_killed(hosts, luck):
    """Gateways are killed in turn under streams; new ones take these up."""
    async def trouble(streams):
        for node in hosts.gateways:
            streams.dead.add(node)
            await hosts.kill_all([node])
            await hosts.start(node)
            await hosts.until(lambda node=node: hosts.is_ready(node), time.monotonic(), 5)
            streams.dead.discard(node)
            await asyncio.sleep(0.8)
    return await streams_beside(hosts, luck, trouble)


async def streams_across_gateways_all_killed(hosts, luck):
    """All gateways and loaders are killed at once under streams."""
    async def trouble(_):
        for _ in range(2):
            await asyncio.sleep(2.5)
            await hosts.kill_all()
            await hosts.start_all()
    return await streams_beside(hosts, luck, trouble)


async def streams_across_a_release(hosts, luck):
    """The engines of the older version are replaced one after the other."""
    async def release(_):
        for engine in [each for each in hosts.engines if each.software == VERSIONS[0]]:
            await asyncio.sleep(1.0)
            engine.crash_for_s = 0.3
            hosts.store.put("keyed.servers", engine.name, None)
            engine.software = VERSIONS[1]
            engine.name += "n"
            await engine.crash()
    return await streams_beside(hosts, luck, release)


async def streams_beside_a_refusing_store(hosts, luck):
    """The store refuses one call of every seven."""
    sound = hosts.store.listener.handler

    async def refuse_some(request):
        if luck.random() < 1 / 7:
            request.channel.answer(503, {})
            return
        await sound(request)

    async def trouble(_):
        for channel in hosts.store.listener.channels:
            channel.handler = refuse_some
        hosts.store.listener.handler = refuse_some
    return await streams_beside(hosts, luck, trouble)


async def streams_at_a_cut_off_gateway(hosts, luck):
    """One gateway loses its way to the store; loaders relay for it."""
    cut_off = hosts.settings[hosts.gateways[0]][1]
    own_way = Listener(hosts.ip(), hosts.port, hosts.store.handle)
    await own_way.up()
    cut_off["platform"]["address"] = f"{own_way.ip}:{own_way.port}"

    async def cut(_):
        await asyncio.sleep(1.0)
        own_way.down()
    return await streams_beside(hosts, luck, cut)


async def engine_back_with_another_version(hosts, luck):
    """Engines come back under their ids, with the other version."""
    async def trouble(_):
        for _ in range(12):
            engine = luck.choice(hosts.engines)
            engine.software = VERSIONS[1 - VERSIONS.index(engine.software)]
            engine.crash_for_s = 0.2
            await engine.crash()
            await asyncio.sleep(0.5)
    return await streams_beside(hosts, luck, trouble, seconds=9, cut=False)


async def submit(hosts, node, name, items):
    headers = {"X-Camphornotch-Model": "m0", "X-Camphornotch-Token-Usage": "20,60",
               "X-Camphornotch-Prompt-Prefix": "9c2e41:10"}
    body = json.dumps({"step": 0, "model": "m0", "min_version": 1, "desired_count": len(items) // 4 or 1, "items": [
        {"id": item, "path": f"{ROLLOUT_PATH}{item}", "headers": headers, "body": base64.b64encode(b"p").decode(),
         "tokens": 80, "group": f"{name[:1]}-{index // 4}"} for index, item in enumerate(items)]}).encode()
    return (await call(hosts.front(node), "POST", f"{ROLLOUT_PATH}{name}",
                       {"Host": HOST, "X-Camphornotch-Request-Id": name, "X-Camphornotch-Request-Deadline": 2000},
                       body))[0]


async def results(hosts, node, name):
    status, _, data = await call(hosts.front(node), "GET", f"/-/lots/{name}?after=0", {"Host": HOST})
    return json.loads(data)["results"] if status == 200 else []


async def items_beside(hosts, luck, trouble, steps=4, items_per_step=48, step_s=4.0):
    """Steps of items; what a step leaves comes again in the next one."""
    texts, mixed, left = 0, 0, []
    crashes = asyncio.ensure_future(trouble)
    for step in range(steps):
        name = f"{step}lot{luck.randrange(10 ** 6)}"
        items = left + [f"{name}-{index}" for index in range(items_per_step - len(left))]
        for node in hosts.gateways * 3:
            if await submit(hosts, node, name, items) == 202:
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(step_s)
        got = []
        for node in hosts.gateways * 2:
            got = got or await results(hosts, node, name)
        await call(hosts.front(hosts.gateways[-1]), "DELETE", f"/-/lots/{name}", {"Host": HOST})
        for each in got:
            if each["state"] != "completed":
                continue
            texts += 1
            versions = {line.split(".")[1] for line in each["text"].split("\n")}
            numbers = [int(line.split(".")[0]) for line in each["text"].split("\n")]
            mixed += 1 if len(versions) > 1 else 0
            if numbers != list(range(1, 31)):
                hosts.faults.append(f"ORDER {each['id']}: events {numbers}")
        done = {each["id"] for each in got}
        left = [item for item in items if item not in done][:items_per_step // 2]
    await crashes
    if mixed > MAX_MIXED:
        hosts.faults.append(f"ORDER {mixed} of {texts} texts hold events of two versions")
    if texts < items_per_step:
        hosts.faults.append(f"only {texts} texts in {steps} steps")
    return f"{texts} texts, {mixed} mixed"


async def items_beside_crashes(hosts, luck):
    await begin(hosts)
    return await items_beside(hosts, luck, crash_engines(hosts, luck, 15, 0.3))


async def items_across_owners(hosts, luck):
    """Gateways are stopped and killed in turn; others go on with their items."""
    await begin(hosts)

    async def trouble():
        for turn, node in enumerate(hosts.gateways):
            await asyncio.sleep(1.5)
            how = signal.SIGTERM if turn % 2 else signal.SIGKILL
            hosts.signal(node, how)
            await hosts.ended(node)
            await hosts.start(node)
    return await items_beside(hosts, luck, trouble())


async def items_that_move(hosts, luck):
    """Engines turn slow in turn, and weights change: runs move, run twice and
    are left to the next step."""
    await begin(hosts)

    async def trouble():
        for turn in range(8):
            slow = luck.sample(hosts.engines, len(hosts.engines) // 3)
            for engine in slow:
                engine.event_s = 0.3
            version = max(engine.versions["m0"] for engine in hosts.engines) + 1
            hosts.store.put("keyed.op", "version/m0", {"model": "m0", "version": version})
            await asyncio.sleep(1.8)
            for engine in slow:
                engine.event_s = 0.03
    return await items_beside(hosts, luck, trouble())


CASES = [
    streams_beside_crashes, streams_taken_up, streams_across_gateways_killed, streams_across_gateways_all_killed,
    streams_across_a_release, streams_beside_a_refusing_store,
    streams_at_a_cut_off_gateway, items_beside_crashes, items_across_owners,
    items_that_move, engine_back_with_another_version]
