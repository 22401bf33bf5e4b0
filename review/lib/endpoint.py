"""Stand-ins of the users' engines and plain services, as PROTOCOL.md describes them."""

import asyncio
import json
import time

import http11

HEARTBEAT_S = 1.2
NOT_RUN = {"X-Camphornotch-Not-Executed": "1"}


class Endpoint:
    """A plain service: it works for work_ms on each request, slots at a time.

    The path may end with /MS, which is the work of that request in ms.
    """

    def __init__(self, record, store, service, number, address, zone, slots, queue, work_ms):
        self.record = record
        self.store = store
        self.service = service
        self.name = "i-%s-%d" % (service, number)
        self.id = self.name
        self.lives = 1
        self.address = address
        self.zone = zone
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.queue = queue
        self.work_ms = work_ms
        self.present = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.server = None
        self.beating = None
        self.connections = set()
        # Counts of all answers, for the share of those that are spoiled.
        self.answers = 0
        # Called with the request and the encoded answer: whether a second copy follows late.
        self.doubles = lambda request, status: False

    async def start(self):
        self.server = await http11.serve(self.address, self.on_request)
        self.beating = asyncio.ensure_future(self.beat())

    def registration(self):
        return {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": self.slot_count, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def register(self):
        self.sequence += 1
        await self.store.put("keyed.servers", self.id, json.dumps(self.registration()).encode())

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def stop(self):
        """The endpoint ends: its connections are closed."""
        if self.beating is not None:
            self.beating.cancel()
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def leave(self, serve_s):
        """A planned end: reports draining, serves on, then leaves the registry."""
        self.state = "draining"
        await self.register()
        self.record("draining", endpoint=self.id)
        await asyncio.sleep(serve_s)
        await self.stop()
        await self.store.put("keyed.servers", self.id, b"")
        self.record("gone", endpoint=self.id)

    async def forget(self, old_id):
        """The entry of an earlier life goes after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.put("keyed.servers", old_id, b"")

    async def crash(self, down_s):
        """Crashes and is back under a new id after some seconds."""
        if self.server is None:
            return
        self.record("crashed", endpoint=self.id)
        await self.stop()
        await asyncio.sleep(down_s)
        self.lives += 1
        old, self.id = self.id, "%s-%d" % (self.name, self.lives)
        asyncio.ensure_future(self.forget(old))
        self.sequence = 0
        self.present = 0
        self.slots = asyncio.Semaphore(self.slot_count)
        self.born = int(time.time() * 1000)
        await self.start()

    async def answer(self, request, connection, status, headers, body):
        headers = dict(headers)
        name = request.header("x-camphornotch-request-id")
        if name:
            headers["X-Camphornotch-Request-Id"] = name
        encoded = http11.encode_answer(status, headers, body)
        self.answers += 1
        connection.writer.write(encoded)
        await connection.writer.drain()
        if self.doubles(request, status):
            connection.late_copy = encoded
            self.record("second copy held", endpoint=self.id, id=name, status=status)
        return True

    async def on_request(self, request, connection):
        self.connections.add(connection)
        try:
            return await self.handle(request, connection)
        finally:
            if connection.closed_by_peer():
                self.connections.discard(connection)

    async def handle(self, request, connection):
        if connection.late_copy:
            # The extra answer arrives where the answer to this request is expected.
            connection.writer.write(connection.late_copy)
            connection.late_copy = b""
            self.record("second copy sent", endpoint=self.id,
                        before=request.header("x-camphornotch-request-id"))
        expected = request.header("x-camphornotch-expected-instance")
        if expected and expected != self.id:
            return await self.answer(request, connection, 421,
                                     {"X-Camphornotch-Instance-Id": self.id}, b"")
        if self.present >= self.slot_count + self.queue:
            self.record("refused", endpoint=self.id, id=request.header("x-camphornotch-request-id"))
            return await self.answer(request, connection, 503, NOT_RUN, b"")
        self.present += 1
        try:
            async with self.slots:
                if connection.closed_by_peer():
                    return False
                return await self.run(request, connection)
        finally:
            self.present -= 1

    async def run(self, request, connection):
        name = request.header("x-camphornotch-request-id")
        self.record("run", endpoint=self.id, id=name, path=request.path)
        last = request.path.rsplit("/", 1)[-1]
        work_ms = int(last) if last.isdigit() else self.work_ms
        await asyncio.sleep(work_ms / 1000)
        self.record("ran", endpoint=self.id, id=name)
        receipt = {"X-Camphornotch-Response-Signature": "s.%s.%s" % (self.id, name)}
        return await self.answer(request, connection, 200, receipt, ("done " + name).encode())


class Engine(Endpoint):
    """A model engine: a POST answers as a stream of numbered events."""

    def __init__(self, *arguments, models, event_ms):
        super().__init__(*arguments)
        self.versions = {model: 1 for model in models}
        self.event_ms = event_ms
        self.orders = 0
        # Called after the first event: whether the request crashes the engine.
        self.crashes = lambda request: False

    def models(self):
        return [{"name": model, "version": version, "adapters": []}
                for model, version in self.versions.items()]

    def registration(self):
        return dict(super().registration(), stage="both", models=self.models())

    async def handle(self, request, connection):
        if request.path == "/-/report":
            running = min(self.present, self.slot_count)
            body = {"stage": "both", "models": self.models(), "busy": False,
                    "sequence": self.orders, "waiting": self.present - running,
                    "running": running, "kv_cache_used": 0, "kv_cache_total": 90000,
                    "handles": 0, "born": self.born}
            connection.writer.write(http11.encode_answer(200, {}, json.dumps(body).encode()))
            return True
        if request.path == "/-/order":
            order = json.loads(request.body)
            self.record("order", endpoint=self.id, order=order)
            self.orders += 1
            self.versions[order["model"]] = order["version"]
            connection.writer.write(http11.encode_answer(202, {}, b""))
            return True
        return await super().handle(request, connection)

    async def run(self, request, connection):
        name = request.header("x-camphornotch-request-id")
        model = request.header("x-camphornotch-model")
        first = int(request.header("last-event-id", "0")) + 1
        # The number of events is the last figure of the token usage.
        count = int(request.header("x-camphornotch-token-usage", "16,10").split(",")[1])
        self.record("run", endpoint=self.id, id=name, first=first)
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "X-Camphornotch-Request-Id: " + name,
                "X-Camphornotch-Weight-Versions: %d" % self.versions[model],
                "X-Camphornotch-Response-Signature: s.%s.%s" % (self.id, name)]
        connection.writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_ms / 1000)
            if connection.closed_by_peer():
                self.record("broken off", endpoint=self.id, id=name, event=number)
                return False
            event = ("id: %d\ndata: %s-%d\n\n" % (number, name, number)).encode()
            connection.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await connection.writer.drain()
            if self.crashes(request):
                # The first token is out when the engine crashes.
                await asyncio.sleep(self.event_ms / 1000)
                asyncio.ensure_future(self.crash(2.0))
                return False
        connection.writer.write(b"0\r\n\r\n")
        await connection.writer.drain()
        self.answers += 1
        self.record("ran", endpoint=self.id, id=name)
        return True
