"""The processes of a deployment, as the deploy file starts them, supervised the
way the platform does it: a process that ends by itself is recorded and started
again, and each host has the limits of its class.
"""
import asyncio
import base64
import collections
import copy
import dataclasses
import json
import os
import resource
import signal
import sys
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
from standins import Deployment, call, configure, render  # noqa: E402

HOST = "portal.example"
PORTAL_PATH = "/portal/"
STREAM_PATH = "/review/"
ROLLOUT_PATH = "/rollouts/"
RECOVERY_S = 12.0
MIN_SERVED_SHARE = 0.25
GRACE_S = 8.0
RESTART_PAUSE_S = 0.3
MAX_RESTARTS = 40
ALLOTMENT_S = 0.1
# How long a settings file is being written.
WRITING_S = 0.4


@dataclasses.dataclass
class HostClass:
    """Limits of the processes of one class of hosts."""
    share: float
    memory_mb: int
    descriptors: int


CLASSES = {"gateway": HostClass(0.5, 300, 8200), "loader": HostClass(0.2, 192, 4096)}


@dataclasses.dataclass
class Launch:
    """How a process is started; the defaults are those of the platform."""
    output: str = "file"       # file, unread, broken, full, closed
    environment: dict = dataclasses.field(default_factory=dict)
    soft_descriptors: int = 0  # 0: the limit of the class
    address_space_mb: int = 0  # 0: no limit
    throttled: bool = False
    unchanged_command: bool = False
    program: str = ""          # instead of the one of the deploy file


def send_signal(process, number):
    """Signals a process of asyncio that its watcher has not reported as ended.
    Process.send_signal() would poll the child, and a poll that comes before the
    watcher's waitpid() takes the exit code away; asyncio then reports 255."""
    if process.returncode is None:
        try:
            os.kill(process.pid, number)
        except ProcessLookupError:
            pass  # reaped, and the report is under way


class Hosts(Deployment):
    """Gateways and loaders, their stand-ins, and what happened to them."""

    def __init__(self, record, gateways, engines, portals):
        super().__init__(record)
        self.store.topic = ""      # rows of a group that nobody has joined yet
        self.counts = gateways, engines, portals
        self.launch = Launch()
        self.faults = []           # what broke a rule
        self.ending = False
        self.every = []            # all processes ever started
        self.asked = set()         # ids of processes whose end was asked for
        self.own_ends = collections.Counter()
        self.engines, self.portals, self.gateways, self.loaders = [], [], [], []
        self.pipes = []
        self.changes = {}          # host -> name and function that changes its settings
        self.unfinished = None     # function that takes a part of a settings file
        self.watchers = {}
        self.sent = 0

    async def engine_hosts(self):
        """Starts the stand-ins alone; no process of ours runs yet."""
        _, engines, portals = self.counts
        for _ in range(portals):
            self.portals.append(await self.engine("permit-portal", slots=64))
        for _ in range(engines):
            made = await self.engine("reviewer-lm", ["m0"], slots=16, loader=False)
            self.engines.append(made)
            node = f"side-{self.machines}"
            self.settings[node] = ("loader", self.values(node, made.ip, made.zone, {
                "app": f"{made.ip}:{self.port + 3}", "service": "reviewer-lm"}))
            self.loaders.append(node)
        for _ in range(self.counts[0]):
            ip = self.ip()
            node = f"frontend-{self.machines}"
            zone = "zone-a" if self.machines % 2 else "zone-b"
            self.settings[node] = ("gateway", self.values(node, ip, zone, {}))
            self.gateways.append(node)
        self.configure()

    def configure(self):
        common = {"host": HOST, "timeout_ms": 3000, "target_latency_ms": 200, "attempts": 3}
        configure(self.store, [
            dict(common, name="portal", path_prefix=PORTAL_PATH, kind="safe", service="permit-portal", priority=2),
            dict(common, name="review", path_prefix=STREAM_PATH, kind="streaming", service="reviewer-lm",
                 priority=1, resumable=True),
            dict(common, name="rollouts", path_prefix=ROLLOUT_PATH, kind="rollout", service="reviewer-lm",
                 priority=0, result_due_ms=7500, retention_s=40)], [
            {"name": "permit-portal", "health_path": "/health", "connection_limit": 300, "protocol": "h1",
             "tls": False},
            {"name": "reviewer-lm", "health_path": "/health", "connection_limit": 300, "protocol": "h1", "tls": False,
             "engine": {"slots": 16, "kv_cache_tokens": 90000, "models": [{"name": "m0"}]}}])

    @property
    def nodes(self):
        return self.gateways + self.loaders

    def class_of(self, node):
        return CLASSES[self.settings[node][0]]

    def log_path(self, node):
        return os.path.join(self.folder.name, node + ".log")

    @staticmethod
    def write(path, text):
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    def output_of(self, node):
        kind = self.launch.output
        if kind == "full":
            return os.open("/dev/full", os.O_WRONLY)
        if kind in ("unread", "broken"):
            read_end, write_end = os.pipe()
            if kind == "broken":
                os.close(read_end)
            else:
                self.pipes.append(read_end)
            return write_end
        return os.open(self.log_path(node), os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    async def start(self, node):
        role, values = self.settings[node]
        limits, launch = self.class_of(node), self.launch
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            template = file.read()
        values = dict(values, limits={"memory_mb": limits.memory_mb, "file_descriptors": limits.descriptors})
        if node in self.changes:
            values = copy.deepcopy(values)
            self.changes[node][1](values)
        path = os.path.join(self.folder.name, node + ".ini")
        text = render(template.replace("{{internal_port_range.1}}", str(self.port + 9)), values)
        self.write(path, text)
        if self.unfinished:
            self.write(path, self.unfinished(text))
            asyncio.get_running_loop().call_later(WRITING_S, self.write, path, text)
        words = self.roles[role]["run"].split(" ")
        if not launch.unchanged_command:
            words = [path if word.startswith("/etc/") else word for word in words]
        words[0] = os.environ.get("CAMPHORNOTCH_DAEMON") or os.path.join(ROOT, words[0])
        words[0] = launch.program or words[0]
        output = self.output_of(node)

        def prepare():
            soft = launch.soft_descriptors or limits.descriptors
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, limits.descriptors))
            resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
            if launch.address_space_mb:
                size = launch.address_space_mb * 1_000_000
                resource.setrlimit(resource.RLIMIT_AS, (size, size))
            for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM, signal.SIGPIPE):
                signal.signal(number, signal.SIG_DFL)
            if launch.output == "closed":
                for number in range(3):
                    os.close(number)

        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output, preexec_fn=prepare,
            env={"PATH": "/usr/bin:/bin", "CAMPHORNOTCH_CONFIG": path, **launch.environment})
        os.close(output)
        self.processes[node] = process
        self.every.append(process)
        self.watchers[node] = [asyncio.ensure_future(self.supervise(node, process))]
        if launch.throttled:
            self.watchers[node].append(asyncio.ensure_future(self.throttle(process, limits.share)))
        self.record("process-start", node=node, pid=process.pid)

    async def throttle(self, process, share):
        """Lets a process run for its share of each allotment only."""
        while process.returncode is None:
            send_signal(process, signal.SIGSTOP)
            await asyncio.sleep(ALLOTMENT_S * (1 - share))
            send_signal(process, signal.SIGCONT)
            await asyncio.sleep(ALLOTMENT_S * share)

    async def supervise(self, node, process):
        """Restarts a process that ends by itself; that counts as a fault."""
        began = time.monotonic()
        code = await process.wait()
        after = time.monotonic() - began
        self.record("process-end", node=node, code=code, after_s=f"{after:.3f}")
        if process.pid in self.asked:
            return
        self.own_ends[node] += 1
        self.faults.append(f"FAULT {node} ended by itself: code {code}, {after * 1000:.0f} ms after its start")
        await asyncio.sleep(RESTART_PAUSE_S)
        if not self.ending and self.own_ends[node] < MAX_RESTARTS:
            await self.start(node)

    def signal(self, node, number):
        if number in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL):
            self.asked.add(self.processes[node].pid)
        self.record("signal", node=node, signal=number.name)
        send_signal(self.processes[node], number)

    async def ended(self, node, within=GRACE_S):
        """Waits for the end; SIGKILL after the grace period. @return the exit code."""
        process = self.processes[node]
        try:
            await asyncio.wait_for(process.wait(), within)
        except asyncio.TimeoutError:
            self.faults.append(f"FAULT {node} outlived its grace period")
            self.signal(node, signal.SIGKILL)
            await process.wait()
        return process.returncode

    async def start_all(self, nodes=None):
        await asyncio.gather(*(self.start(node) for node in nodes or self.nodes))

    async def kill_all(self, nodes=None):
        for node in nodes or self.nodes:
            if node in self.processes and self.processes[node].returncode is None:
                self.signal(node, signal.SIGKILL)
                await self.processes[node].wait()

    async def is_ready(self, node):
        ip = self.settings[node][1]["ip_address"]
        return (await call((ip, self.port + 2), "GET", "/-/readiness", {"Host": "probe"}, timeout=1.0))[0] == 200

    async def serves(self, node, path=PORTAL_PATH):
        """@return whether one request through the gateway gets an endpoint's whole answer."""
        self.sent += 1
        headers = {"Host": HOST, "X-Camphornotch-Request-Id": f"q{self.sent}", "X-Camphornotch-Request-Deadline": 1200,
                   "X-Camphornotch-Model": "m0", "X-Camphornotch-Token-Usage": "10,10",
                   "X-Camphornotch-Prompt-Prefix": f"{self.sent:x}:10"}
        status, fields, _ = await call(self.front(node), "POST", f"{path}{self.sent}", headers, b"{}", timeout=1.5)
        return status == 200 and "x-camphornotch-response-signature" in fields

    async def keeps(self, node, luck, path=PORTAL_PATH):
        """Requests on one connection; at times the client leaves in the middle."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.front(node)), 1.0)
            for _ in range(luck.randrange(1, 8)):
                self.sent += 1
                writer.write((f"POST {path}k HTTP/1.1\r\nHost: {HOST}\r\nX-Camphornotch-Request-Id: k{self.sent}"
                              "\r\nX-Camphornotch-Request-Deadline: 1500\r\nX-Camphornotch-Model: m0\r\n"
                              "Content-Length: 2\r\n\r\n{}").encode())
                head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), luck.choice((0.03, 2.0)))).lower()
                if b"chunked" in head:
                    await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), luck.choice((0.05, 2.0)))
                elif b"content-length: " in head:
                    await reader.readexactly(int(head.split(b"content-length: ")[1].split(b"\r")[0]))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        if writer is not None:
            luck.choice((writer.close, writer.transport.abort))()

    async def runs_rollouts(self, node):
        """@return whether a submission to the gateway gets all its results."""
        self.sent += 1
        name = f"lot{self.sent}"
        headers = {"X-Camphornotch-Model": "m0", "X-Camphornotch-Token-Usage": "20,10",
                   "X-Camphornotch-Prompt-Prefix": f"{self.sent:x}:10"}
        body = json.dumps({"step": 0, "model": "m0", "min_version": 1, "desired_count": 1, "items": [
            {"id": f"{name}-{index}", "path": f"{ROLLOUT_PATH}{name}/{index}", "headers": headers,
             "body": base64.b64encode(b"prompt").decode(), "tokens": 30, "group": name,
             "scoring_call": {"id": f"{name}-{index}-s", "host": HOST, "path": f"{PORTAL_PATH}{name}",
                              "body": "aGk="}} for index in range(2)]}).encode()
        status, _, _ = await call(self.front(node), "POST", f"{ROLLOUT_PATH}{name}",
                                  {"Host": HOST, "X-Camphornotch-Request-Id": name,
                                   "X-Camphornotch-Request-Deadline": 2000}, body, timeout=2.0)
        if status != 202:
            return False
        end = time.monotonic() + RECOVERY_S
        while time.monotonic() < end:
            status, _, data = await call(self.front(node), "GET", f"/-/lots/{name}?after=0", {"Host": HOST})
            if status == 200 and len(json.loads(data)["results"]) == 2:
                return True
            await asyncio.sleep(0.1)
        return False

    async def until(self, check, begin, within):
        """@return seconds from begin until check() held; None: not in time."""
        while time.monotonic() - begin < within:
            if await check():
                return time.monotonic() - begin
            await asyncio.sleep(0.05)
        return None

    async def recovered(self, begin, nodes=None, within=RECOVERY_S):
        """Measures each gateway, and whether a new version reaches each engine.
        @return texts of the slowest times, for the report."""
        nodes = nodes or self.gateways
        # Every engine loads a version that is two ahead; one ahead, half of them.
        version = max(engine.versions["m0"] for engine in self.engines) + 2
        self.store.put("keyed.op", "version/m0", {"model": "m0", "version": version})

        async def loaded():
            return all(engine.versions["m0"] >= version for engine in self.engines)

        checks = {f"ready {node}": lambda node=node: self.is_ready(node) for node in nodes}
        checks |= {f"served {node}": lambda node=node: self.serves(node) for node in nodes}
        checks |= {f"stream {node}": lambda node=node: self.serves(node, STREAM_PATH) for node in nodes}
        checks |= {f"rollouts {node}": lambda node=node: self.runs_rollouts(node) for node in nodes}
        checks["loaded"] = loaded
        times = await asyncio.gather(*(self.until(check, begin, within) for check in checks.values()))
        slowest = collections.defaultdict(float)
        for name, spent in zip(checks, times):
            if spent is None:
                self.faults.append(f"RECOVER {name}: not within {within:.0f} s")
            kind = name.split(" ")[0]
            slowest[kind] = max(slowest[kind], within if spent is None else spent)
        return " ".join(f"{kind} {spent:.2f}" for kind, spent in slowest.items())

    async def served_later(self, begin):
        """Measures the requests sent later than RECOVERY_S after begin.
        @return the share served, for the report."""
        await asyncio.sleep(max(0.0, begin + RECOVERY_S - time.monotonic()))
        answers = await asyncio.gather(*(self.serves(node) for node in self.gateways for _ in range(8)))
        share = sum(answers) / len(answers)
        if share < MIN_SERVED_SHARE:
            self.faults.append(f"RECOVER {share:.2f} of the requests served after {RECOVERY_S:.0f} s")
        return f"later {share:.2f} of {len(answers)}"

    def check_memory(self):
        for node in self.nodes:
            process = self.processes.get(node)
            if process is None or process.returncode is not None:
                continue
            with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
                peak = next(int(line.split()[1]) * 1024 for line in file if line.startswith("VmHWM"))
            if peak > self.class_of(node).memory_mb * 1_000_000:
                self.faults.append(f"FAULT {node} held {peak / 1e6:.0f} MB")

    async def end(self):
        self.ending = True
        for tasks in self.watchers.values():
            for task in tasks:
                task.cancel()
        for process in self.every:
            if process.returncode is None:
                send_signal(process, signal.SIGKILL)
                await process.wait()
        for pipe in self.pipes:
            os.close(pipe)
        self.store.listener.down()
        await super().end()
