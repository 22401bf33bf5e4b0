"""The demo: three steps a trainer with new weights between them, and short
calls of a desk and a portal meanwhile. Counts come from the stand-ins."""

import argparse
import sys
import time

import sites
from cluster import ROOT, Cluster, Failure, record

STEPS = 3
TRAINERS = {"point-angle": True, "reviewer": False}
DESK_CALLS = {"desk-guides": 160, "portal-county": 160}
TIME_LIMIT_S = 50


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=27100)
    parser.add_argument("--out", default=ROOT / "build" / "demo")
    parser.add_argument("--rules", default=ROOT / "examples" / "rules.ini")
    parser.add_argument("--keep", action="store_true",
                        help="leave the deployment running until Ctrl-C")
    return parser.parse_args()


def start(cluster, rules):
    """Starts everything but the load."""
    sites.build(cluster)
    cluster.start_platform()
    cluster.start_hosts()
    count = len(cluster.processes)
    print(f"demo: {count} processes run, 3 entries and 15 agents are ready",
          flush=True)
    cluster.publish(rules)
    print(f"demo: {rules} is published and in force", flush=True)


def start_load(cluster):
    """Starts trainers, desk and portal."""
    for name, announces in TRAINERS.items():
        sites.start_trainer(cluster, name, announces, steps=STEPS, groups=8,
                            samples=4, usual_tokens=64,
                            train_ms=1000, ahead=1)
    for name, calls in DESK_CALLS.items():
        sites.start_desk(cluster, name, calls=calls, rate=20)


def load_state(cluster):
    """Whether all load has ended, and a line that says how far it is."""
    trainers = [record(cluster.standins[name][1]) for name in TRAINERS]
    desks = [record(cluster.standins[name][1]) for name in DESK_CALLS]
    done = (all(trainer["done"] for trainer in trainers)
            and all(desk["sent"] == calls and desk["open"] == 0
                    for desk, calls in zip(desks, DESK_CALLS.values())))
    steps = " ".join(f"{each['name']}: step {each['steps']}/{STEPS} "
                     f"({each['delivered']}/{each['submitted']} samples, "
                     f"version {each['version']})" for each in trainers)
    calls = " ".join(f"{each['name']}: {each['whole']}/{each['sent']} calls"
                     for each in desks)
    return done, f"{steps} | {calls}"


def run_load(cluster):
    """Runs the load to its end, or to the time limit."""
    start_load(cluster)
    began = time.monotonic()
    shown = 0.0
    while True:
        done, line = load_state(cluster)
        passed = time.monotonic() - began
        if done or passed - shown >= 2 or passed > TIME_LIMIT_S:
            shown = passed
            print(f"demo: {passed:4.1f} s | {line}", flush=True)
        if done or passed > TIME_LIMIT_S:
            return
        time.sleep(0.2)


def print_table(verdict):
    """The closing table."""
    print(f"{'trainer':16} {'samples':>9} {'idle ms':>8} {'run ms':>8}  ages")
    for name, each in verdict.trainers.items():
        ages = " ".join(f"{age}:{count}"
                        for age, count in sorted(each["ages"].items()))
        print(f"{name:16} {each['delivered']:>4}/{each['submitted']:<4} "
              f"{each['idle_ms']:>8} {each['elapsed_ms']:>8}  {ages}")
    print(f"{'caller':16} {'kind':>10} {'whole':>6} {'p50 ms':>7} "
          f"{'p99 ms':>7}")
    for name, each in verdict.desks.items():
        for kind, times in sorted(each["times"].items()):
            print(f"{name:16} {kind:>10} {times['count']:>6} "
                  f"{times['p50_ms']:>7} {times['p99_ms']:>7}")
    print(f"{'endpoint':16} {'runs':>6} {'version':>8}")
    for name, each in verdict.engines.items():
        print(f"{name:16} {len(each['runs']):>6} {each['version']:>8}")
    for name, each in verdict.services.items():
        print(f"{name:16} {len(each['bookings']):>6} bookings, "
              f"{each['scores']} scores, {each['reads']} reads")


def print_faults(verdict):
    """The first faults that trainers saw, if any."""
    for name, each in verdict.trainers.items():
        for seen in each["faults"][:5]:
            print(f"{name}: {seen}")
        if each["refusals"]:
            print(f"{name}: refusals {each['refusals']}")
    for name, each in verdict.desks.items():
        if each["refusals"] or each["broken"] or each["unknown"]:
            print(f"{name}: refusals {each['refusals']}, broken "
                  f"{each['broken']}, unknown {each['unknown']}")


def keep(cluster):
    """Leaves the deployment running, for a reader to try things."""
    print(f"demo: entries are at {cluster.entries()}, the log is at "
          f"127.0.0.1:{cluster.platform['log']}, the host list at "
          f"127.0.0.1:{cluster.platform['hostlist']}; Ctrl-C ends it",
          flush=True)
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print()


def holds(verdict):
    """Whether every promise was kept."""
    wrong = (verdict.duplicated, verdict.lost, verdict.mislabelled,
             verdict.overage, verdict.ran_twice, verdict.cut,
             verdict.false_not_run, verdict.whole_not_booked,
             verdict.outside_rules)
    return (not any(wrong) and verdict.submitted > 0
            and verdict.delivered == verdict.submitted
            and verdict.calls_sent == sum(DESK_CALLS.values())
            and verdict.calls_whole == verdict.calls_sent)


def main():
    """Runs the demo; the exit code says whether it held."""
    arguments = parse_arguments()
    try:
        with Cluster(arguments.base_port, arguments.out) as cluster:
            start(cluster, arguments.rules)
            run_load(cluster)
            verdict = sites.Verdict(cluster)
            if arguments.keep:
                keep(cluster)
    except Failure as failure:
        print(f"demo: failed: {failure}")
        return 1
    print_faults(verdict)
    print_table(verdict)
    print(f"demo: submitted={verdict.submitted} "
          f"delivered={verdict.delivered} duplicated={verdict.duplicated} "
          f"lost={verdict.lost} mislabelled={verdict.mislabelled} "
          f"overage={verdict.overage} calls_sent={verdict.calls_sent} "
          f"calls_whole={verdict.calls_whole} ran_twice={verdict.ran_twice}")
    return 0 if holds(verdict) else 1


if __name__ == "__main__":
    sys.exit(main())
