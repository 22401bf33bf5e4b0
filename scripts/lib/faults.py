"""Injects faults during load, by a schedule that follows from a seed, and
counts what the stand-ins' own records say."""

import argparse
import collections
import random
import subprocess
import sys
import threading
import time

import sites
from cluster import BUILD, ROOT, Cluster, Failure, fault, record
from observer import ConfigObserver, config_offset

FAULTS = 210
FAULT_INTERVAL_S = 1.9
LOG_OUTAGE_S = 30
DRAIN_LIMIT_S = 90
GRACEFUL_STOPS = 8
# A call that a silent service has taken stays open until its desk gives the
# attempt up (AttemptTimeout of standins/desk, 15 s); its end is not a cut.
OLD_CALLS_END_S = 16
TRAINERS = {"point-angle": True, "reviewer": False}
DESKS = ("desk-guides", "portal-county")
LINES = ("dc1-dc2", "dc1-dc3", "dc2-dc3")
PUBLISHED = (0, 5)  # exit codes: in force everywhere; some hosts lag

# Faster than the shipped settings, so that faults within seconds matter.
SETTINGS = {"intervals.heartbeat_ms": 300, "intervals.link_silence_ms": 1000,
            "process.stop_grace_ms": 8000}


class Injector:
    """Injects one fault after the other; several may hold at once."""

    def __init__(self, cluster, rules, seed):
        self.cluster = cluster
        self.rules = rules
        self.random = random.Random(seed)
        self.counts = collections.Counter()
        self.timers = []
        self.busy = set()
        self.lock = threading.Lock()
        self.published = 0
        self.races = []
        self.races_bad = []
        self.kinds = {
            "engine_crash": (14, self.engine_crash),
            "engine_slow": (6, self.engine_slow),
            "engine_silent": (8, self.engine_silent),
            "swap_fails": (8, self.swap_fails),
            "swap_answer_lost": (8, self.swap_answer_lost),
            "service_crash": (6, self.service_crash),
            "service_answer_lost": (8, self.service_answer_lost),
            "service_silent": (4, self.service_silent),
            "agent_killed": (12, self.agent_killed),
            "agent_paused": (12, self.agent_paused),
            "agent_stopped": (6, self.agent_stopped),
            "entry_killed": (10, self.entry_killed),
            "entry_paused": (10, self.entry_paused),
            "entry_stopped": (5, self.entry_stopped),
            "line_dropped": (10, self.line_dropped),
            "line_silent": (10, self.line_silent),
            "line_cut": (10, self.line_cut),
            "log_outage": (4, self.log_outage),
            "log_answers_lost": (8, self.log_answers_lost),
            "log_slow": (5, self.log_slow),
            "host_list_outage": (3, self.host_list_outage),
            "store_outage": (3, self.store_outage),
            "publish_race": (5, self.publish_race),
        }

    def later(self, seconds, call):
        """Plans the end of a fault."""
        timer = threading.Timer(seconds, call)
        timer.daemon = True
        timer.start()
        self.timers.append(timer)

    def inject(self):
        """Injects a random fault; returns its kind."""
        while True:
            names = list(self.kinds)
            weights = [self.kinds[name][0] for name in names]
            kind = self.random.choices(names, weights)[0]
            if self.kinds[kind][1]():
                self.counts[kind] += 1
                return kind

    def settle(self):
        """Waits until all faults are over."""
        for timer in self.timers:
            timer.join()

    # Choices

    def standin(self, *prefixes):
        """The port of a random stand-in with such a name."""
        names = [name for name in self.cluster.standins
                 if name.startswith(prefixes)]
        return self.cluster.standins[self.random.choice(names)][1]

    def take_host(self, role):
        """A random host that no fault holds; None if there is none."""
        with self.lock:
            free = [name for name, host in self.cluster.hosts.items()
                    if host.role == role and name not in self.busy]
            if not free:
                return None
            name = self.random.choice(free)
            self.busy.add(name)
            return self.cluster.hosts[name]

    def give_back(self, host):
        """Other faults may hold the host again."""
        with self.lock:
            self.busy.discard(host.name)

    def engine(self, **what):
        """Injects a fault into a random engine."""
        return fault(self.standin("grind-", "review-", "desk-1", "desk-2",
                                  "desk-3"), **what)

    # Endpoints

    def engine_crash(self):
        """Closes all connections and refuses new ones for a while."""
        return self.engine(kind="crash", for_ms=self.random.randint(200, 2500))

    def engine_slow(self):
        """Generates five times as slowly."""
        return self.engine(kind="slow", factor=5, for_ms=5000)

    def engine_silent(self):
        """Takes requests and answers none."""
        return self.engine(kind="silent", for_ms=self.random.randint(500, 3000))

    def swap_fails(self):
        """The next swap fails."""
        return self.engine(kind="fail_swaps", count=1)

    def swap_answer_lost(self):
        """The next swap is done, its answer lost."""
        return self.engine(kind="lose_swap_answers", count=1)

    def service_crash(self):
        """As for engines."""
        return fault(self.standin("service-"), kind="crash",
                     for_ms=self.random.randint(200, 1500))

    def service_answer_lost(self):
        """Calls run, and their answers are lost."""
        return fault(self.standin("service-"), kind="lose_answers",
                     count=self.random.randint(1, 4))

    def service_silent(self):
        """Takes requests and answers none."""
        return fault(self.standin("service-"), kind="silent", for_ms=1000)

    # Processes

    def killed(self, role):
        """Kills a daemon; it starts again soon."""
        host = self.take_host(role)
        if host is None:
            return False
        host.process.kill()

        def restart():
            host.process.start()
            self.give_back(host)

        self.later(self.random.uniform(0.1, 1.5), restart)
        return True

    def paused(self, role):
        """Holds a daemon up for some seconds."""
        host = self.take_host(role)
        if host is None:
            return False
        host.process.pause()

        def resume():
            host.process.resume()
            self.give_back(host)

        self.later(self.random.uniform(0.3, 6.0), resume)
        return True

    def stopped(self, role):
        """Stops a daemon gracefully; it starts again at once."""
        host = self.take_host(role)
        if host is None:
            return False

        def restart():
            host.process.stop(wait=12)
            host.process.start()
            self.give_back(host)

        self.later(0, restart)
        return True

    def agent_killed(self):
        """See killed()."""
        return self.killed("agent")

    def agent_paused(self):
        """See paused()."""
        return self.paused("agent")

    def agent_stopped(self):
        """See stopped()."""
        return self.stopped("agent")

    def entry_killed(self):
        """See killed()."""
        return self.killed("entry")

    def entry_paused(self):
        """See paused()."""
        return self.paused("entry")

    def entry_stopped(self):
        """See stopped()."""
        return self.stopped("entry")

    # Lines

    def line(self, kind, for_ms=0):
        """Injects a fault into a line between data centres."""
        return fault(self.cluster.relay_port, kind=kind,
                     group=self.random.choice(LINES), for_ms=for_ms)

    def line_dropped(self):
        """All connections of a line are reset."""
        return self.line("drop")

    def line_silent(self):
        """All connections of a line go silent; new ones work."""
        return self.line("silence")

    def line_cut(self):
        """Nothing passes a line for a while."""
        return self.line("cut", self.random.randint(500, 5000))

    # Platform

    def platform(self, part, /, **what):
        """Injects a fault into a part of the platform."""
        return fault(self.cluster.platform[part], **what)

    def log_outage(self):
        """The log refuses everything for a while."""
        return self.platform("log", kind="outage",
                             for_ms=self.random.randint(1000, 4000))

    def log_answers_lost(self):
        """Appends take effect, and their answers are lost."""
        return self.platform("log", kind="lose_answers", count=3)

    def log_slow(self):
        """The log answers late."""
        return self.platform("log", kind="delay", ms=300, for_ms=2000)

    def host_list_outage(self):
        """The host list answers nothing."""
        return self.platform("hostlist", kind="outage", for_ms=5000)

    def store_outage(self):
        """The weight store answers nothing."""
        return self.platform("weightstore", kind="outage", for_ms=4000)

    def publish_race(self):
        """Two operators publish different files at once: one is refused."""
        with self.lock:
            if "publish" in self.busy:
                return False
            self.busy.add("publish")
        self.published += 1
        self.later(0, lambda: self.race(self.published))
        return True

    def race(self, number):
        """Publishes two files based on the same one: at most one is taken."""
        base = self.accepted()
        if base is not None:
            codes = self.publish_both(number, base)
            taken = [code for code in codes if code in PUBLISHED]
            if len(taken) == 2:
                self.races_bad.append((number, base, codes))
            self.races.append(tuple(codes))
        with self.lock:
            self.busy.discard("publish")

    def accepted(self):
        """The newest offset that any entry has in force."""
        offsets = [config_offset(host.http)
                   for host in self.cluster.hosts.values()
                   if host.role == "entry"]
        return max((int(offset) for offset in offsets if offset is not None),
                   default=None)

    def publish_both(self, number, base):
        """Publishes two files at once; returns both exit codes."""
        text = self.rules.read_text()
        codes = {}

        def publish(which):
            path = self.cluster.out / f"rules-{number}-{which}.ini"
            path.write_text(text.replace(
                "[hosts]\n", f"[hosts]\nrace-{number}-{which} = "
                f"leave_grace_ms={1000 + number} ; asked by {which}\n"))
            try:
                codes[which] = self.cluster.operator(
                    "publish", path, f"--base={base}",
                    timeout=60).returncode
            except subprocess.TimeoutExpired:
                codes[which] = None

        threads = [threading.Thread(target=publish, args=(which,))
                   for which in ("a", "b")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return [codes["a"], codes["b"]]


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=27700)
    parser.add_argument("--out", default=BUILD / "faults")
    parser.add_argument("--seed", type=int, default=20261204)
    parser.add_argument("--faults", type=int, default=FAULTS)
    parser.add_argument("--kinds", default="",
                        help="inject only these kinds, with commas between")
    return parser.parse_args()


def start_load(cluster):
    """Starts load that goes on until it is told to stop."""
    for name, announces in TRAINERS.items():
        sites.start_trainer(cluster, name, announces, steps=100000, groups=6,
                            samples=4, usual_tokens=48, train_ms=2000)
    for name in DESKS:
        sites.start_desk(cluster, name, calls=1000000, rate=15,
                         patience_ms=120000)


def drained(cluster):
    """Whether all load has ended."""
    trainers = [record(cluster.standins[name][1]) for name in TRAINERS]
    desks = [record(cluster.standins[name][1]) for name in DESKS]
    return (all(trainer["done"] for trainer in trainers)
            and all(desk["open"] == 0 for desk in desks))


def stop_load(cluster):
    """Lets open steps and calls end; returns whether they did."""
    for name in (*TRAINERS, *DESKS):
        fault(cluster.standins[name][1], kind="stop")
    until = time.monotonic() + DRAIN_LIMIT_S
    while time.monotonic() < until:
        if drained(cluster):
            return True
        time.sleep(0.5)
    return False


def inject_all(cluster, injector, count):
    """Injects the faults, in the middle of them a long outage of the log."""
    began = time.monotonic()
    for number in range(count):
        if number == count // 2:
            fault(cluster.platform["log"], kind="outage",
                  for_ms=LOG_OUTAGE_S * 1000)
            injector.counts["long_log_outage"] += 1
        kind = injector.inject()
        if number % 10 == 0:
            steps = [record(cluster.standins[name][1])["steps"]
                     for name in TRAINERS]
            whole = [record(cluster.standins[name][1])["whole"]
                     for name in DESKS]
            print(f"faults: {time.monotonic() - began:5.1f} s, {number} "
                  f"injected, last {kind}, steps {steps}, calls {whole}",
                  flush=True)
        time.sleep(FAULT_INTERVAL_S)


def stop_gracefully(cluster, injector):
    """Restarts hosts one by one with nothing else amiss; returns how many
    calls of the desks saw that."""
    injector.settle()
    for name in cluster.hosts:
        cluster.wait_ready(name, 30)
    time.sleep(OLD_CALLS_END_S)
    before = sum(record(cluster.standins[name][1])["broken"]
                 for name in DESKS)
    hosts = list(cluster.hosts.values())
    for host in injector.random.sample(hosts, GRACEFUL_STOPS):
        host.process.stop(wait=12)
        host.process.start()
        cluster.wait_ready(host.name, 20)
        injector.counts["graceful_stop"] += 1
    time.sleep(2)
    after = sum(record(cluster.standins[name][1])["broken"]
                for name in DESKS)
    return after - before


def print_details(verdict, injector):
    """What lies behind the last line."""
    for kind, count in sorted(injector.counts.items()):
        print(f"  {kind:22} {count}")
    print(f"  exit codes of racing publishes: {injector.races}")
    for name, each in verdict.trainers.items():
        print(f"  {name}: steps {each['steps']}, ages {each['ages']}, "
              f"idle {each['idle_ms']} of {each['elapsed_ms']} ms, refusals "
              f"{each['refusals']}, broken calls {each['broken_calls']}, "
              f"failed {each['failed']}, cut {each['cut']}, bad scores "
              f"{each['bad_score']}")
        for seen in each["faults"][:3]:
            print(f"    {seen}")
    for name, each in verdict.desks.items():
        print(f"  {name}: sent {each['sent']}, whole {each['whole']}, unknown "
              f"{each['unknown']}, given up {each['given_up']}, timed out "
              f"{each['timed_out']}, open {each['open']}, broken "
              f"{each['broken']}, retries {each['retries']}, refusals "
              f"{each['refusals']}, times {each['times']}")


def run(arguments):
    """Runs the bench; returns whether nothing broke."""
    rules = ROOT / "examples" / "rules.ini"
    with Cluster(arguments.base_port, arguments.out, SETTINGS) as cluster:
        sites.build(cluster)
        cluster.start_platform()
        cluster.start_hosts()
        cluster.publish(rules)
        observer = ConfigObserver(cluster)
        observer.start()
        injector = Injector(cluster, rules, arguments.seed)
        if arguments.kinds:
            injector.kinds = {kind: injector.kinds[kind]
                              for kind in arguments.kinds.split(",")}
        start_load(cluster)
        time.sleep(3)
        inject_all(cluster, injector, arguments.faults)
        seen_stops = stop_gracefully(cluster, injector)
        whole = stop_load(cluster)
        observer.stop()
        verdict = sites.Verdict(cluster)
    print_details(verdict, injector)
    if not whole:
        print("faults: load did not end in time")
    if verdict.outside_rules or verdict.whole_not_booked:
        print(f"faults: outside_rules={verdict.outside_rules} "
              f"whole_not_booked={verdict.whole_not_booked}")
    for back in observer.reverted[:5]:
        print(f"faults: went back: {back}")
    injected = sum(injector.counts.values())
    reverted = len(observer.reverted) + len(injector.races_bad)
    cut = verdict.cut + seen_stops
    print(f"faults: injected={injected} lost={verdict.lost} "
          f"duplicated={verdict.duplicated} "
          f"mislabelled={verdict.mislabelled} overage={verdict.overage} "
          f"ran_twice={verdict.ran_twice} "
          f"false_not_run={verdict.false_not_run} cut={cut} "
          f"reverted={reverted}")
    wrong = (verdict.lost, verdict.duplicated, verdict.mislabelled,
             verdict.overage, verdict.ran_twice, verdict.false_not_run, cut,
             reverted, verdict.outside_rules, verdict.whole_not_booked)
    return whole and not any(wrong) and verdict.delivered > 0


def main():
    """The exit code says whether nothing broke."""
    try:
        return 0 if run(parse_arguments()) else 1
    except Failure as failure:
        print(f"faults: failed: {failure}")
        return 1


if __name__ == "__main__":
    sys.exit(main())
