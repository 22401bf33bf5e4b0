"""Runs the main scenarios of policy with the real daemons: the shipped rules
against the baselines of endpoint choice. Prints a JSON line a measure; lower
is better for each of them."""

import argparse
import json
import sys
import threading
import time

import sites
from cluster import BUILD, ROOT, Cluster, Failure, fault, record

SEED = 20261204
RUN_S = 20
DRAIN_S = 40
BASELINES = ("round-robin", "least-outstanding")
DEFAULT = "probing"


class Scenario:
    """A scenario: load and what is done to the deployment meanwhile."""

    def __init__(self, name, trainer=None, desk=None, disturb=None):
        self.name = name
        self.trainer = trainer
        self.desk = desk or {}
        self.disturb = disturb


STEADY = {"groups": 8, "samples": 4, "usual_tokens": 64, "train_ms": 1000}
LONG = {"groups": 24, "samples": 8, "usual_tokens": 400, "train_ms": 200}


def slow_two(cluster, ending):
    """Two engines of ten are five times slower, ten seconds at a time."""
    names = [name for name in sites.ENGINE_SITES if name.startswith("grind-")]
    turn = 0
    while not ending.wait(0 if turn == 0 else 10):
        for name in (names[turn % 8], names[(turn + 1) % 8]):
            fault(cluster.standins[name][1], kind="slow", factor=5,
                  for_ms=10000)
        for name in (list(sites.DESK_SITES)[turn % 3],):
            fault(cluster.standins[name][1], kind="slow", factor=5,
                  for_ms=10000)
        turn += 2


def crash_engines(cluster, ending):
    """An engine crashes every five seconds."""
    names = list(sites.ENGINE_SITES)
    turn = 0
    while not ending.wait(5):
        fault(cluster.standins[names[turn % len(names)]][1], kind="crash",
              for_ms=1500)
        turn += 3


def fail_swaps(cluster, ending):
    """One engine of ten fails its next swap, again and again."""
    names = list(sites.ENGINE_SITES)
    turn = 0
    while not ending.wait(2):
        fault(cluster.standins[names[turn % len(names)]][1],
              kind="fail_swaps", count=1)
        turn += 1


def cut_region(cluster, ending):
    """The regions lose each other for eight seconds."""
    if ending.wait(5):
        return
    for line in ("dc1-dc3", "dc2-dc3"):
        fault(cluster.relay_port, kind="cut", group=line, for_ms=8000)


SCENARIOS = (
    Scenario("steady", STEADY),
    Scenario("no_rollouts"),
    Scenario("slowed", STEADY, disturb=slow_two),
    Scenario("heavy_tail", {**STEADY, "long_groups": 60}),
    Scenario("saturated", LONG, {"model": sites.MODEL}),
    Scenario("unsaturated", None, {"model": sites.MODEL}),
    Scenario("crashes", STEADY, disturb=crash_engines),
    Scenario("failed_swaps", STEADY, disturb=fail_swaps),
    Scenario("region_cut", STEADY, disturb=cut_region),
)


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=28400)
    parser.add_argument("--out", default=BUILD / "live")
    parser.add_argument("--scenarios", default="",
                        help="run only these, with commas between")
    parser.add_argument("--policies", default=",".join((DEFAULT, *BASELINES)))
    return parser.parse_args()


def write_rules(cluster, policy):
    """The example rules with another choice of endpoints."""
    text = (ROOT / "examples" / "rules.ini").read_text()
    path = cluster.out / "rules.ini"
    path.write_text(text.replace(f"policy={DEFAULT}", f"policy={policy}"))
    return path


def start_load(cluster, scenario):
    """Starts the load of a scenario; returns the names of its stand-ins."""
    names = ["desk-guides"]
    sites.start_desk(cluster, "desk-guides", calls=1000000, rate=40,
                     **scenario.desk)
    if scenario.trainer:
        for name, announces in (("point-angle", True), ("reviewer", False)):
            groups = scenario.trainer["groups"] // (1 if announces else 4)
            sites.start_trainer(cluster, name, announces, steps=100000,
                                **{**scenario.trainer, "groups": groups})
            names.append(name)
    return names


def stop_load(cluster, names):
    """Lets the load end; returns whether it did in time."""
    for name in names:
        fault(cluster.standins[name][1], kind="stop")
    until = time.monotonic() + DRAIN_S
    while time.monotonic() < until:
        states = [record(cluster.standins[name][1]) for name in names]
        if all(state.get("done", True) and state.get("open", 0) == 0
               for state in states):
            return True
        time.sleep(0.2)
    return False


def quantile_of(ages, share):
    """A quantile of a table of ages and counts."""
    total = sum(ages.values())
    seen = 0
    for age, count in sorted((int(age), count) for age, count in ages.items()):
        seen += count
        if seen >= share * total:
            return age
    return 0


def measures(cluster):
    """The measures of one run, as name: (value, unit)."""
    verdict = sites.Verdict(cluster)
    desk = verdict.desks["desk-guides"]
    found = {"wrong": (verdict.lost + verdict.duplicated + verdict.mislabelled
                       + verdict.overage + verdict.ran_twice + verdict.cut,
                       "count")}
    for kind in ("completion", "stream", "status", "booking"):
        if kind in desk["times"]:
            found[f"{kind}_p99"] = (desk["times"][kind]["p99_ms"], "ms")
            found[f"{kind}_p50"] = (desk["times"][kind]["p50_ms"], "ms")
    for name, trainer in verdict.trainers.items():
        share = trainer["idle_ms"] / max(1, trainer["elapsed_ms"])
        steps = max(1, trainer["steps"])
        found[f"idle_share_{name}"] = (round(share, 4), "ratio")
        found[f"idle_per_step_{name}"] = (round(trainer["idle_ms"] / steps),
                                          "ms")
        found[f"age_p95_{name}"] = (quantile_of(trainer["ages"], .95),
                                    "versions")
    lines = record(cluster.relay_port)
    narrow = sum(lines.get(line, {}).get("bytes", 0)
                 for line in ("dc1-dc3", "dc2-dc3"))
    calls = max(1, desk["whole"] + verdict.delivered)
    found["narrow_bytes_per_answer"] = (round(narrow / calls), "bytes")
    return found


def run_once(arguments, scenario, policy):
    """Runs one scenario with one policy; returns its measures."""
    out = f"{arguments.out}/{scenario.name}-{policy}"
    with Cluster(arguments.base_port, out) as cluster:
        sites.build(cluster, engine={"load_lag_ms": 5000})
        cluster.start_platform()
        cluster.start_hosts()
        cluster.publish(write_rules(cluster, policy))
        names = start_load(cluster, scenario)
        ending = threading.Event()
        if scenario.disturb:
            threading.Thread(target=scenario.disturb, args=(cluster, ending),
                             daemon=True).start()
        time.sleep(RUN_S)
        ending.set()
        whole = stop_load(cluster, names)
        found = measures(cluster)
        found["unfinished"] = (0 if whole else 1, "count")
        return found


def print_lines(scenario, results):
    """A JSON line for each measure of the shipped policy."""
    if DEFAULT not in results:
        return
    for measure, (value, unit) in results[DEFAULT].items():
        others = [results[name][measure][0] for name in BASELINES
                  if name in results and measure in results[name]]
        print(json.dumps({"scenario": scenario.name, "measure": measure,
                          "policy": DEFAULT,
                          "baseline": min(others) if others else None,
                          "value": value, "unit": unit, "seed": SEED}),
              flush=True)


def main():
    """Runs all scenarios; the exit code says whether all runs came about."""
    arguments = parse_arguments()
    chosen = set(filter(None, arguments.scenarios.split(",")))
    status = 0
    for scenario in SCENARIOS:
        if chosen and scenario.name not in chosen:
            continue
        results = {}
        for policy in arguments.policies.split(","):
            try:
                results[policy] = run_once(arguments, scenario, policy)
            except Failure as failure:
                print(f"live: {scenario.name} {policy}: {failure}",
                      file=sys.stderr)
                status = 1
        print_lines(scenario, results)
    return status


if __name__ == "__main__":
    sys.exit(main())
