"""A small deployment on loopback: the project's programs beside the stand-ins."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http11
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = {"highland-a": "highland", "highland-b": "highland", "lowland-a": "lowland"}


class Failure(Exception):
    """The case could not run."""


def render(template, values):
    """Fills in a template of settings as DEPLOY.md describes it."""

    def look_up(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            found = scope
            for part in name.split("."):
                if isinstance(found, list):
                    found = found[int(part)] if int(part) < len(found) else None
                else:
                    found = found.get(part) if isinstance(found, dict) else None
            if found is not None:
                return found
        return None

    def fill(text, scopes, key="", last=True):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def on_section(match):
            value = look_up(match[2], scopes)
            if match[1] == "^":
                return "" if value else fill(match[3], scopes, key, last)
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                entries = [("", value)] if value else []
            return "".join(
                fill(match[3], scopes + [entry], str(name), index + 1 == len(entries))
                for index, (name, entry) in enumerate(entries))

        def on_value(match):
            if match[1] == "@":
                return key
            if match[1] == ",":
                return "" if last else ","
            value = look_up(match[1], scopes)
            if value is None:
                return ""
            return json.dumps(value) if isinstance(value, (dict, list)) else str(value)

        return re.sub(r"\{\{([@,]|[\w.]+)\}\}", on_value, section.sub(on_section, text))

    return fill(template, [values])


def role_command(role):
    """The program and arguments of a role in the deploy file, and its template."""
    text = open(os.path.join(ROOT, "deploy/system.toml")).read()
    section = text.split("[roles.%s]" % role)[1].split("[roles.")[0]
    run = re.search(r'^run = "(.*)"', section, re.M)[1].split()
    template = re.search(r'^template = "(.*)"', section, re.M)[1]
    return run, open(os.path.join(ROOT, template)).read()


class Process:
    """One process of the project, started again on demand at the same addresses."""

    def __init__(self, deployment, role, name, settings):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.settings = settings
        self.ip = settings["ip_address"]
        self.running = None

    def start(self):
        run, template = role_command(self.role)
        path = os.path.join(self.deployment.folder, self.name + ".ini")
        with open(path, "w") as file:
            file.write(render(template, self.settings))
        command = [path if word.startswith("/etc/camphornotch/") else word for word in run]
        log = open(os.path.join(self.deployment.folder, self.name + ".log"), "a")
        self.running = subprocess.Popen(
            command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                 "CAMPHORNOTCH_CONFIG": path})
        log.close()
        self.deployment.record("process started", process=self.name)

    def signal(self, number):
        self.deployment.record("signal", process=self.name, signal=signal.Signals(number).name)
        self.running.send_signal(number)

    def ended(self):
        return self.running is None or self.running.poll() is not None

    async def wait_end(self, within_s):
        until = time.monotonic() + within_s
        while not self.ended() and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.ended():
            self.deployment.record("process ended", process=self.name,
                                   code=self.running.returncode)
        return self.ended()

    def front(self):
        return (self.ip, self.deployment.ports["front"])


class Deployment:
    """The store, the endpoints and the processes of one case, and its record."""

    def __init__(self, case_folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(int(os.environ.get("SEED", "1")))
        self.started_at = time.monotonic()
        self.events = []
        self.file = open(os.path.join(case_folder, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="camphornotch-review-")
        self.processes = []
        self.endpoints = []
        self.machines = 0
        # Addresses of their own, so that two scripts do not meet.
        self.net = "127.%d.%d" % (random.randint(20, 120), random.randint(1, 250))
        names = ["front", "ready", "link", "second", "app", "store"]
        self.ports = dict(zip(names, self.free_ports(len(names))))
        self.store_address = (self.net + ".1", self.ports["store"])
        self.store = Store(12)

    def free_ports(self, count):
        sockets = []
        for _ in range(count):
            each = socket.socket()
            each.bind(("127.0.0.1", 0))
            sockets.append(each)
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    def now(self):
        return time.monotonic() - self.started_at

    def record(self, what, **fields):
        event = dict(at=round(self.now(), 3), what=what, **fields)
        self.events.append(event)
        self.file.write(json.dumps(event) + "\n")
        return event

    def next_ip(self):
        self.machines += 1
        return "%s.%d" % (self.net, 10 + self.machines)

    def settings(self, zone, ip):
        return {
            "ip_address": ip, "zone": zone, "region": ZONES[zone], "zones": ZONES,
            "listen": {"front": "%s:%d" % (ip, self.ports["front"]),
                       "ready": "%s:%d" % (ip, self.ports["ready"])},
            "internal_port_range": [self.ports["link"], self.ports["second"]],
            "bounds": {"grace_period_s": 8, "drain_ms": 2500},
            "platform": {"address": "%s:%d" % self.store_address, "parts": 12,
                         "record_bytes": 262144},
        }

    def add_gateway(self, zone):
        number = sum(each.role == "gateway" for each in self.processes) + 1
        name = "frontend-%s-%d" % (zone, number)
        settings = dict(self.settings(zone, self.next_ip()), node=name)
        self.processes.append(Process(self, "gateway", name, settings))
        return self.processes[-1]

    def add_loader(self, engine):
        """The process beside an engine, on the engine's machine."""
        name = "side-" + engine.id
        settings = dict(self.settings(engine.zone, engine.address[0]), node=name,
                        app="%s:%d" % engine.address, service=engine.service)
        self.processes.append(Process(self, "loader", name, settings))
        return self.processes[-1]

    def add_endpoint(self, kind, service, zone, slots, queue, work_ms, **more):
        number = sum(each.service == service for each in self.endpoints) + 1
        address = (self.next_ip(), self.ports["app"])
        self.endpoints.append(kind(self.record, self.store, service, number, address, zone,
                                   slots, queue, work_ms, **more))
        return self.endpoints[-1]

    def gateways(self):
        return [each for each in self.processes if each.role == "gateway"]

    async def publish(self, config):
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("config confirmed", version=config["version"])

    async def start(self, config):
        await self.store.start(self.store_address)
        await self.publish(config)
        for endpoint in self.endpoints:
            await endpoint.start()
        for process in self.processes:
            process.start()
        await self.wait_ready(self.gateways())

    async def wait_ready(self, gateways, within_s=10.0):
        until = time.monotonic() + within_s
        for gateway in gateways:
            while True:
                answer = await http11.call((gateway.ip, self.ports["ready"]), "GET",
                                           "/-/readiness", {"Host": "ready"}, timeout=1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until or gateway.ended():
                    raise Failure("%s is not ready" % gateway.name)
                await asyncio.sleep(0.1)
            self.record("ready", process=gateway.name)

    async def stop(self):
        for process in self.processes:
            if not process.ended():
                process.running.kill()
                process.running.wait()
        for endpoint in self.endpoints:
            await endpoint.stop()


def main(case, case_folder):
    """Runs a case: a coroutine that gets the deployment and returns HELD or BROKEN."""

    async def play():
        deployment = Deployment(case_folder)
        try:
            outcome = await asyncio.wait_for(case(deployment), 110)
        except (Failure, OSError, asyncio.TimeoutError, asyncio.CancelledError) as cause:
            deployment.record("could not run", cause=repr(cause))
            outcome = NOT_RUN
        finally:
            await deployment.stop()
            deployment.file.flush()
            if os.environ.get("KEEP"):
                print("logs in", deployment.folder)
            else:
                shutil.rmtree(deployment.folder, ignore_errors=True)
        deployment.record("verdict", exit=outcome, trouble=deployment.trouble)
        deployment.file.close()
        print(["the rule held", "the rule was broken", "the case could not run"][outcome])
        return outcome

    loop = asyncio.new_event_loop()
    playing = loop.create_task(play())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, playing.cancel)
    outcome = loop.run_until_complete(playing)
    sys.stdout.flush()
    # Calls of stand-ins that still wait have nothing left to say.
    os._exit(outcome)
