"""Starts and stops a deployment on this machine: the platform's stand-ins,
entries, agents and load, with the latencies of three data centres.

Only processes started here are ever signalled, by their id.
"""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("CAMPHORNOTCH_BUILD", ROOT / "build"))

NORTH, SOUTH = "north", "south"
REGIONS = {"dc1": NORTH, "dc2": NORTH, "dc3": SOUTH}
PLATFORM_DATA_CENTRE = "dc1"

DATA_CENTRE_DELAY_US = 1500
REGION_DELAY_US = 10000
CLIENT_DELAY_US = 1000


class Failure(Exception):
    """Something that the deployment needs did not come about."""


def request(port, method, path, body=None, timeout=5.0):
    """Sends one HTTP request; returns (status, text)."""
    link = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        link.request(method, path, data, {"Content-Type": "application/json"})
        answer = link.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    finally:
        link.close()


def try_request(port, method, path, body=None, timeout=5.0):
    """As request(), but (0, "") in place of an exception."""
    try:
        return request(port, method, path, body, timeout)
    except (OSError, http.client.HTTPException):
        return 0, ""


def record(port, timeout=10.0):
    """The record of a stand-in."""
    status, text = request(port, "GET", "/control/record", timeout=timeout)
    if status != 200:
        raise Failure(f"port {port}: no record ({status})")
    return json.loads(text)


def fault(port, **what):
    """Injects a fault; returns whether the stand-in took it."""
    status, _ = try_request(port, "POST", "/control/fault", what)
    return status == 200


class Process:
    """One process of ours, which can be started again after its end."""

    def __init__(self, name, command, out):
        self.name = name
        self.command = [str(part) for part in command]
        self.out = out
        self.handle = None
        self.starts = 0
        self.ended = False

    def start(self):
        """Starts it; its output goes to a file of its name."""
        if self.ended:
            return
        with open(self.out / f"{self.name}.out", "ab") as log:
            self.handle = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, cwd=ROOT)
        self.starts += 1

    def alive(self):
        """Whether it runs (or is paused)."""
        return self.handle is not None and self.handle.poll() is None

    def signal(self, number):
        """Sends a signal if it has not ended."""
        if self.alive():
            self.handle.send_signal(number)

    def kill(self):
        """Ends it at once."""
        self.signal(signal.SIGKILL)
        if self.handle is not None:
            self.handle.wait()

    def stop(self, wait=10.0):
        """Asks it to end; returns whether it did so in time."""
        self.signal(signal.SIGTERM)
        try:
            if self.handle is not None:
                self.handle.wait(wait)
            return True
        except subprocess.TimeoutExpired:
            self.kill()
            return False

    def pause(self):
        """Holds it up."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Lets it go on."""
        self.signal(signal.SIGCONT)

    def resident_kb(self):
        """Its resident memory in kilobytes; 0 after its end."""
        try:
            text = pathlib.Path(f"/proc/{self.handle.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def cpu_seconds(self):
        """Processor time that it used; 0 after its end."""
        try:
            text = pathlib.Path(f"/proc/{self.handle.pid}/stat").read_text()
        except (OSError, AttributeError):
            return 0.0
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class Host:
    """One host of the system: an entry, or an agent beside its endpoint."""

    def __init__(self, name, role, data_centre):
        self.name = name
        self.role = role
        self.data_centre = data_centre
        self.links = 0
        self.http = 0
        self.endpoint = ""
        self.kind = ""
        self.serves = ""
        self.endpoint_port = 0
        self.process = None
        self.seen_from = {}

    def listed(self):
        """The host as the host list has it."""
        entry = {"host": self.name, "role": self.role,
                 "data_centre": self.data_centre,
                 "region": REGIONS[self.data_centre],
                 "address": f"127.0.0.1:{self.links}",
                 "http": f"127.0.0.1:{self.http}", "state": "live",
                 "seen_from": self.seen_from}
        if self.role == "agent":
            entry.update(endpoint=self.endpoint, endpoint_kind=self.kind,
                         serves=self.serves)
        return entry


class Cluster:
    """A whole deployment. Use it in a with statement: leaving ends it."""

    def __init__(self, base_port, out, settings=None, delays=True):
        self.delays = delays
        self.next_port = base_port
        self.out = pathlib.Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        for old in (*self.out.glob("*.out"), *self.out.glob("*.log")):
            old.unlink()
        self.settings = settings or {}
        self.processes = []
        self.routes = []
        self.hosts = {}
        self.standins = {}
        self.client_ports = []
        self.relay_port = 0
        self.platform = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end()

    def end(self):
        """Ends all processes that were started here."""
        for process in self.processes:
            process.ended = True
            process.resume()
            process.signal(signal.SIGKILL)
        for process in self.processes:
            if process.handle is not None:
                process.handle.wait()

    def port(self):
        """A port that nobody else of this deployment has."""
        self.next_port += 1
        return self.next_port - 1

    def run(self, name, command):
        """Starts a process that end() will end."""
        process = Process(name, command, self.out)
        process.start()
        self.processes.append(process)
        return process

    # Stand-ins

    def standin(self, kind, name, port, /, **flags):
        """Starts a stand-in and waits until it listens."""
        command = [BUILD / "standins" / f"standin_{kind}", f"--port={port}"]
        command += [f"--{key}={value}" for key, value in flags.items()]
        process = self.run(name, command)
        self.standins[name] = (process, port)
        self.wait_for(f"{name} to listen", 10, lambda: try_request(
            port, "GET", "/control/record")[0] == 200)
        return process

    def relay(self, target, delay_us, group):
        """A port that leads to another one with a delay."""
        port = self.port()
        self.routes.append((port, target, delay_us, group))
        return port

    def line(self, here, there):
        """Name and delay of the line between two data centres."""
        near = REGIONS[here] == REGIONS[there]
        name = "-".join(sorted((here, there)))
        return name, DATA_CENTRE_DELAY_US if near else REGION_DELAY_US

    def from_data_centre(self, viewer, where, port):
        """The port by which a data centre reaches a port of another one."""
        if viewer == where or not self.delays:
            return port
        name, delay = self.line(viewer, where)
        return self.relay(port, delay, name)

    # Layout

    def add_entry(self, name, data_centre):
        """Adds an entry, without starting it."""
        host = Host(name, "entry", data_centre)
        self.place(host)
        port = host.http
        if self.delays:
            port = self.relay(port, CLIENT_DELAY_US, f"client-{name}")
        self.client_ports.append(port)

    def add_agent(self, endpoint, kind, serves, data_centre, endpoint_port):
        """Adds the agent beside an endpoint, without starting it."""
        host = Host(f"agent-{endpoint}", "agent", data_centre)
        host.endpoint = endpoint
        host.kind = kind
        host.serves = serves
        host.endpoint_port = endpoint_port
        self.place(host)

    def place(self, host):
        """Gives a host its ports, as each data centre sees them."""
        host.links = self.port()
        host.http = self.port()
        for viewer in REGIONS:
            if viewer != host.data_centre:
                links = self.from_data_centre(
                    viewer, host.data_centre, host.links)
                web = self.from_data_centre(
                    viewer, host.data_centre, host.http)
                host.seen_from[viewer] = {"address": f"127.0.0.1:{links}",
                                          "http": f"127.0.0.1:{web}"}
        self.hosts[host.name] = host

    def start_platform(self, log=None, host_list=None, store=None):
        """Starts log, host list, weight store and relay."""
        for kind in ("log", "hostlist", "weightstore"):
            self.platform[kind] = self.port()
        self.views = {
            viewer: {kind: self.from_data_centre(viewer,
                                                 PLATFORM_DATA_CENTRE, port)
                     for kind, port in self.platform.items()}
            for viewer in REGIONS}
        hosts = self.out / "hosts.json"
        hosts.write_text(json.dumps(
            [host.listed() for host in self.hosts.values()]))
        routes = self.out / "routes.txt"
        routes.write_text("".join(
            " ".join(str(part) for part in route) + "\n"
            for route in self.routes))
        self.relay_port = self.port()
        self.standin("relay", "relay", self.relay_port, routes=routes)
        self.standin("log", "log", self.platform["log"], **(log or {}))
        self.standin("hostlist", "hostlist", self.platform["hostlist"],
                     hosts=hosts, **(host_list or {}))
        self.standin("weightstore", "weightstore",
                     self.platform["weightstore"], **(store or {}))

    # Daemons

    def settings_of(self, host):
        """The settings file of a host, as sections of names and values."""
        view = self.views[host.data_centre]
        sections = {
            "process": {"role": host.role, "host": host.name,
                        "data_centre": host.data_centre,
                        "region": REGIONS[host.data_centre]},
            "listen": {"links": f"127.0.0.1:{host.links}",
                       "http": f"127.0.0.1:{host.http}"},
            "platform": {"weight_store": f"127.0.0.1:{view['weightstore']}"},
            "logging": {"file": self.out / f"{host.name}.log"},
        }
        if host.role == "entry":
            sections["platform"]["log"] = f"127.0.0.1:{view['log']}"
            sections["platform"]["host_list"] = f"127.0.0.1:{view['hostlist']}"
        else:
            sections["endpoint"] = {
                "name": host.endpoint, "kind": host.kind,
                "serves": host.serves,
                "address": f"127.0.0.1:{host.endpoint_port}"}
        for name, value in self.settings.items():
            section, key = name.split(".")
            only = {"entry": "entry", "endpoint": "agent"}.get(section)
            if only is None or only == host.role:
                sections.setdefault(section, {})[key] = value
        return sections

    def start_host(self, name, **extra):
        """Writes a host's settings and starts its daemon."""
        host = self.hosts[name]
        sections = self.settings_of(host)
        for key, value in extra.items():
            section, member = key.split("__")
            sections.setdefault(section, {})[member] = value
        path = self.out / f"{name}.ini"
        path.write_text("".join(
            f"[{section}]\n" + "".join(f"{key} = {value}\n"
                                       for key, value in members.items())
            for section, members in sections.items()))
        daemon = BUILD / "packages" / "daemon" / "camphornotchd"
        host.process = self.run(name, [daemon, f"--config={path}"])

    def start_hosts(self):
        """Starts all agents and entries and waits until they are ready."""
        for name, host in self.hosts.items():
            if host.role == "agent":
                self.start_host(name)
        for name, host in self.hosts.items():
            if host.role == "entry":
                self.start_host(name)
        for name in self.hosts:
            self.wait_ready(name)

    def is_ready(self, name):
        """Whether a daemon says that it is ready."""
        return try_request(self.hosts[name].http, "GET", "/readyz")[0] == 200

    def wait_ready(self, name, seconds=20):
        """Waits until a daemon is ready."""
        self.wait_for(f"{name} to be ready", seconds,
                      lambda: self.is_ready(name))

    def wait_for(self, what, seconds, check):
        """Waits until a check holds; raises Failure after some seconds."""
        until = time.monotonic() + seconds
        while not check():
            if time.monotonic() > until:
                raise Failure(f"waited {seconds} s for {what}; "
                              f"see the files in {self.out}")
            time.sleep(0.05)

    # The operator's command line and the balancer

    def entries(self):
        """The addresses of all entries, as clients see them."""
        return ",".join(f"127.0.0.1:{port}" for port in self.client_ports)

    def operator(self, command, *arguments, timeout=30):
        """Runs the operator's command line; returns its result."""
        tool = BUILD / "packages" / "ctl" / "camphornotch"
        line = [str(tool), command, *[str(part) for part in arguments],
                f"--log=127.0.0.1:{self.platform['log']}",
                f"--host_list=127.0.0.1:{self.platform['hostlist']}"]
        return subprocess.run(line, capture_output=True, text=True,
                              timeout=timeout, check=False)

    def publish(self, path, timeout=30):
        """Publishes a rule file; raises Failure if that is refused."""
        result = self.operator("publish", path, timeout=timeout)
        if result.returncode != 0:
            raise Failure(f"publish: exit code {result.returncode}: "
                          f"{result.stdout}{result.stderr}")
        return result
