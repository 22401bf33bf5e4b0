"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import struct
import time

import http11

ANSWER_S = 0.004


class Store:
    def __init__(self, partitions):
        self.partitions = partitions
        self.logs = {}
        self.keyed = {}
        self.members = {}
        self.holders = {}
        self.generation = 0
        self.grown = asyncio.Condition()
        self.server = None

    async def start(self, address):
        self.server = await http11.serve(address, self.on_request)

    # The records of one partition; offsets count from 0.
    def log(self, topic, part):
        return self.logs.setdefault((topic, part), [])

    async def notify(self):
        async with self.grown:
            self.grown.notify_all()

    async def put(self, topic, key, value):
        """Writes a record of a keyed topic; an empty value drops the key."""
        log = self.log(topic, 0)
        log.append(bytes([len(key)]) + key.encode() + value)
        values = self.keyed.setdefault(topic, {})
        if value:
            values[key] = (value, len(log) - 1)
        else:
            values.pop(key, None)
        await self.notify()

    async def on_request(self, request, connection):
        await asyncio.sleep(ANSWER_S)
        if request.path == "/-/log-read":
            status, body = await self.on_read(request)
        else:
            calls = {
                "/-/log-append": self.on_append,
                "/-/log-newest": self.on_newest,
                "/-/log-join": self.on_join,
                "/-/log-leave": self.on_leave,
                "/-/log-owners": self.on_owners,
            }
            handler = calls.get(request.path)
            status, answer = await handler(request) if handler else (404, {})
            body = json.dumps(answer).encode()
        connection.writer.write(http11.encode_answer(status, {}, body))
        await connection.writer.drain()
        return True

    async def on_append(self, request):
        log = self.log(request.query["topic"], int(request.query["part"]))
        offset = len(log)
        if "at" in request.query and int(request.query["at"]) != offset:
            return 412, {"end": offset}
        at = 0
        while at < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, at)
            log.append(request.body[at + 4:at + 4 + size])
            at += 4 + size
        await self.notify()
        return 200, {"offset": offset, "end": len(log)}

    async def on_read(self, request):
        log = self.log(request.query["topic"], int(request.query["part"]))
        start = int(request.query["from"])
        limit = int(request.query.get("max_kilobytes", "1024")) * 1024
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while len(log) <= start and time.monotonic() < until:
            async with self.grown:
                try:
                    await asyncio.wait_for(
                        self.grown.wait(), max(until - time.monotonic(), 0.001))
                except asyncio.TimeoutError:
                    pass
        body = struct.pack(">QQ", len(log), 0)
        used = 0
        for record in log[start:]:
            used += len(record)
            if used > limit and used > len(record):
                break
            body += struct.pack(">I", len(record)) + record
        return 200, body

    async def on_newest(self, request):
        topic = request.query["topic"]
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(self.keyed.get(topic, {}).items())]
        return 200, {"items": items, "has_more": False, "end": len(self.log(topic, 0))}

    def assign(self):
        self.generation += 1
        names = sorted(self.members)
        for member in self.members.values():
            member["parts"] = set()
        for part in range(self.partitions):
            if names:
                self.members[names[part % len(names)]]["parts"].add(part)

    async def on_join(self, request):
        call = json.loads(request.body)
        now = time.monotonic()
        name = call["member"]
        changed = name not in self.members
        self.members.setdefault(name, {"parts": set()})
        self.members[name].update(at=now, ttl=call["ttl_ms"] / 1000)
        for other in [n for n, m in self.members.items() if now - m["at"] > m["ttl"]]:
            del self.members[other]
            changed = True
        if changed:
            self.assign()
        mine = self.members[name]["parts"]
        for part, holder in list(self.holders.items()):
            released = (holder == name and part not in mine
                        and call.get("generation", 0) >= self.generation)
            if holder not in self.members or released:
                del self.holders[part]
        held = [part for part in sorted(mine) if self.holders.setdefault(part, name) == name]
        topic = call["topics"][0]
        return 200, {"generation": self.generation, "ttl_ms": call["ttl_ms"],
                     "parts": [[topic, part, 0] for part in held]}

    async def on_leave(self, request):
        call = json.loads(request.body)
        if self.members.pop(call["member"], None) is not None:
            self.assign()
        return 200, {}

    async def on_owners(self, request):
        return 200, {"owners": [["batch", part, holder, 0]
                                for part, holder in sorted(self.holders.items())
                                if holder in self.members]}
