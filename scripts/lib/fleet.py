"""Runs 20 entries and 200 agents for some minutes, publishes changes all the
while, restarts a tenth of the processes, and measures when each change is in
force on each host, and what control costs."""

import argparse
import json
import random
import re
import sys
import threading
import time

from cluster import BUILD, REGIONS, ROOT, Cluster, Failure, try_request

ENTRIES = 20
AGENTS = 200
ENGINES_PER_PROCESS = 50
CHANGE_INTERVAL_S = 3.0
RESTART_SHARE = 0.1
SETTLE_S = 5
PUBLISHED = (0, 5)  # exit codes: in force everywhere; some hosts lag
START_LIMIT_S = 60
IN_FORCE_MESSAGE = "configuration in force"
COUNTERS = re.compile(r"^\w*?(link_bytes_in|link_bytes_out) (\S+)$",
                      re.MULTILINE)


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=21000)
    parser.add_argument("--out", default=BUILD / "fleet")
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--agents", type=int, default=AGENTS)
    parser.add_argument("--seconds", type=int, default=150)
    parser.add_argument("--seed", type=int, default=20261204)
    return parser.parse_args()


def build(cluster, entries, agents):
    """Starts endpoints and platform and lays out hosts."""
    sites = list(REGIONS)
    for first in range(0, agents, ENGINES_PER_PROCESS):
        count = min(ENGINES_PER_PROCESS, agents - first)
        port = cluster.port()
        cluster.next_port += count - 1
        cluster.standin("engine", f"engines-{first}", port, count=count,
                        name=f"grind-{first}")
        for index in range(count):
            cluster.add_agent(f"grind-{first + index}", "engine", "grind",
                              sites[(first + index) % len(sites)],
                              port + index)
    for index in range(entries):
        cluster.add_entry(f"entry-{index}", sites[index % len(sites)])
    cluster.start_platform()


def start_hosts(cluster):
    """Starts all daemons; returns how long it took until all were ready."""
    began = time.monotonic()
    for name in cluster.hosts:
        cluster.start_host(name)
    for name in cluster.hosts:
        cluster.wait_ready(name, START_LIMIT_S)
    return time.monotonic() - began


def link_bytes(cluster):
    """Bytes over links of each host since its start."""
    found = {}
    for name, host in cluster.hosts.items():
        status, text = try_request(host.http, "GET", "/metrics")
        if status == 200:
            found[name] = sum(float(match.group(2))
                              for match in COUNTERS.finditer(text))
    return found


class Publisher(threading.Thread):
    """Publishes changes at a steady rate."""

    def __init__(self, cluster, seconds):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.changes = int(seconds / CHANGE_INTERVAL_S)
        self.published = []
        self.refused = []
        self.text = (ROOT / "examples" / "rules.ini").read_text()

    def run(self):
        """Publishes, a change each interval."""
        due = time.monotonic()
        for number in range(self.changes):
            time.sleep(max(0.0, due - time.monotonic()))
            due += CHANGE_INTERVAL_S
            self.publish(number)

    def publish(self, number):
        """Publishes one change."""
        path = self.cluster.out / "rules.ini"
        path.write_text(self.text.replace(
            "[hosts]\n", f"[hosts]\nchange-{number} = "
            f"leave_grace_ms={1000 + number} ; asked by the bench\n"))
        began = time.time()
        result = self.cluster.operator("publish", path, "--json", timeout=30)
        offset = offset_of(result.stdout)
        if result.returncode in PUBLISHED and offset is not None:
            self.published.append((began, offset))
        else:
            self.refused.append(result.stdout + result.stderr)


def offset_of(text):
    """The offset in the JSON that a publish printed; None without one."""
    for part in (text, *reversed(text.splitlines())):
        try:
            return int(json.loads(part)["offset"])
        except (ValueError, KeyError, TypeError):
            continue
    return None


class Restarter(threading.Thread):
    """Kills and starts a share of the processes, spread over the run."""

    def __init__(self, cluster, seconds, seed):
        super().__init__(daemon=True)
        self.cluster = cluster
        draw = random.Random(seed)
        hosts = list(cluster.hosts.values())
        self.chosen = draw.sample(hosts, int(len(hosts) * RESTART_SHARE))
        self.interval = (seconds - SETTLE_S) / max(1, len(self.chosen))
        self.restarted = {}

    def run(self):
        """Restarts one process each interval."""
        for host in self.chosen:
            time.sleep(self.interval)
            host.process.kill()
            host.process.start()
            self.restarted[host.name] = time.time()


def in_force_times(cluster, name):
    """When a host had which offset in force, from its log file."""
    times = []
    path = cluster.out / f"{name}.log"
    if not path.exists():
        return times
    for line in path.read_text().splitlines():
        if IN_FORCE_MESSAGE not in line:
            continue
        try:
            entry = json.loads(line)
        except ValueError:
            continue
        fields = entry.get("context_map", {})
        times.append((float(fields["wall_ms"]) / 1000, int(fields["offset"])))
    return times


def delays(cluster, publisher, restarter):
    """Seconds from each publish to each host that has it in force; infinite
    where that never came about. A host restarted after the publish counts
    from its restart."""
    found = []
    for name in cluster.hosts:
        times = in_force_times(cluster, name)
        restarted = restarter.restarted.get(name)
        for began, offset in publisher.published:
            if restarted is not None and began < restarted:
                reached = [at for at, seen in times
                           if seen >= offset and at >= began]
                start = began
                if not reached or min(reached) > restarted:
                    start = restarted
            else:
                reached = [at for at, seen in times if seen >= offset]
                start = began
            first = min(reached) if reached else float("inf")
            found.append(max(0.0, first - start))
    return sorted(found)


def quantile(values, share):
    """A quantile of sorted values; 0 of none."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * share))]


def print_costs(cluster, cpu, sent, seconds, restarter):
    """Prints the costs of each role; returns the worst of all hosts."""
    worst = {"bytes": 0.0, "core": 0.0, "rss": 0.0}
    for role in ("entry", "agent"):
        hosts = [host for host in cluster.hosts.values()
                 if host.role == role
                 and host.name not in restarter.restarted]
        rows = {
            "bytes": sorted((sent[1].get(host.name, 0)
                             - sent[0].get(host.name, 0)) / seconds
                            for host in hosts),
            "core": sorted((host.process.cpu_seconds() - cpu[host.name])
                           / seconds * 100 for host in hosts),
            "rss": sorted(host.process.resident_kb() / 1024
                          for host in hosts)}
        for name, values in rows.items():
            worst[name] = max(worst[name], values[-1])
        print(f"  {role}: link bytes/s p50 {quantile(rows['bytes'], .5):.0f} "
              f"max {rows['bytes'][-1]:.0f}, core % p50 "
              f"{quantile(rows['core'], .5):.2f} max {rows['core'][-1]:.2f}, "
              f"rss MB p50 {quantile(rows['rss'], .5):.1f} max "
              f"{rows['rss'][-1]:.1f}", flush=True)
    return worst


def run(arguments):
    """Runs the bench; returns whether every change came into force."""
    with Cluster(arguments.base_port, arguments.out, delays=False) as cluster:
        build(cluster, arguments.entries, arguments.agents)
        took = start_hosts(cluster)
        cluster.publish(ROOT / "examples" / "rules.ini")
        print(f"fleet: {len(cluster.processes)} processes run, all ready "
              f"after {took:.1f} s", flush=True)
        publisher = Publisher(cluster, arguments.seconds)
        restarter = Restarter(cluster, arguments.seconds, arguments.seed)
        cpu = {name: host.process.cpu_seconds()
               for name, host in cluster.hosts.items()}
        sent = [link_bytes(cluster)]
        began = time.monotonic()
        publisher.start()
        restarter.start()
        publisher.join()
        restarter.join()
        seconds = time.monotonic() - began
        sent.append(link_bytes(cluster))
        worst = print_costs(cluster, cpu, sent, seconds, restarter)
        time.sleep(SETTLE_S)
        found = delays(cluster, publisher, restarter)
        alive = all(host.process.alive() for host in cluster.hosts.values())
    print(f"fleet: {len(publisher.published)} changes published, "
          f"{len(publisher.refused)} refused, "
          f"{len(restarter.restarted)} processes restarted")
    for text in publisher.refused[:3]:
        print(f"fleet: refused: {text.strip()[:300]}")
    late = [value for value in found if value > 3]
    print(f"fleet: in force p50 {quantile(found, .5) * 1000:.0f} ms, "
          f"{len(late)} of {len(found)} over 3 s")
    print(f"fleet: entries={arguments.entries} agents={arguments.agents} "
          f"inforce_p99_ms={quantile(found, .99) * 1000:.0f} "
          f"inforce_max_ms={quantile(found, 1) * 1000:.0f} "
          f"control_bytes_per_s={worst['bytes']:.0f} "
          f"core_percent={worst['core']:.2f} rss_mb={worst['rss']:.1f}")
    return (alive and bool(found) and found[-1] != float("inf")
            and len(publisher.published) > 0)


def main():
    """The exit code says whether every change came into force."""
    try:
        return 0 if run(parse_arguments()) else 1
    except Failure as failure:
        print(f"fleet: failed: {failure}")
        return 1


if __name__ == "__main__":
    sys.exit(main())
