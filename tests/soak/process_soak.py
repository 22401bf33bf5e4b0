"""Soak of the deployed programs as real processes: python3 process_soak.py
[--seed N] [--case NAME,...] [--gateways N] [--engines N] [--keep FOLDER]

Prints a line a case; exits with 1 if a rule was broken. CAMPHORNOTCH_DAEMON
names the program; otherwise it is the one that the deploy file names.
"""
import argparse
import asyncio
import os
import random
import sys
import tempfile

import days
import entries
import lives
import odd_names
import settings
import versions
from hosts import Hosts
from standins import Record

CASE_LIMIT_S = 90
CASES = lives.CASES + versions.CASES + entries.CASES + odd_names.CASES + settings.CASES + days.CASES


async def play(case, options):
    with tempfile.TemporaryDirectory(prefix="camphornotch-soak-") as folder:
        hosts = Hosts(Record(folder), options.gateways, options.engines, 3)
        try:
            await hosts.store.listener.up()
            await hosts.engine_hosts()
            text = await asyncio.wait_for(case(hosts, random.Random(options.seed)), CASE_LIMIT_S)
            hosts.check_memory()
        except asyncio.TimeoutError:
            text = ""
            hosts.faults.append(f"the case took over {CASE_LIMIT_S} s")
        finally:
            if options.keep and hosts.faults:
                os.system(f"cp -r {folder} {options.keep}/{case.__name__}-record; "
                          f"cp -r {hosts.folder.name} {options.keep}/{case.__name__}")
            await hosts.end()
    print(f"{'red' if hosts.faults else 'ok '} {case.__name__}: {text}", flush=True)
    for fault in hosts.faults[:4]:
        print(f"    {fault}")
    if len(hosts.faults) > 4:
        print(f"    and {len(hosts.faults) - 4} more", flush=True)
    return not hosts.faults


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=52)
    parser.add_argument("--case", default="")
    parser.add_argument("--gateways", type=int, default=7)
    parser.add_argument("--engines", type=int, default=9)
    parser.add_argument("--keep", default="")
    parser.add_argument("--list", action="store_true", help="print the names of the cases")
    options = parser.parse_args()
    if options.list:
        print(";".join(case.__name__ for case in CASES))
        return
    names = [name for name in options.case.split(",") if name]
    cases = [case for case in CASES if not names or case.__name__ in names]
    held = [asyncio.run(play(case, options)) for case in cases]
    print(f"process soak: seed={options.seed} {sum(held)} passed, {len(held) - sum(held)} failed")
    sys.exit(0 if all(held) and held else 1)


if __name__ == "__main__":
    main()
