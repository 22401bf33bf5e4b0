"""Test of the soak itself: python3 exit_codes.py

Plays signals_while_stopping with a stand-in instead of the daemon, whose exit
code is known, and a watcher of children that comes late. Exits with 1 if the
case does not see exactly the exit code of each process.
"""
import asyncio
import os
import random
import sys
import tempfile
import time

from hosts import Hosts
from lives import signals_while_stopping
from standins import Record

LATE_S = 0.6
START_LIMIT_S = 20.0
CODES = (0, 3, 255)
PROGRAM = """#!{python} -IS
import os, signal
for number in (signal.SIGHUP, signal.SIGINT):
    signal.signal(number, signal.SIG_IGN)
signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])
print("up", flush=True)
signal.sigwait([signal.SIGTERM])
os._exit({code})
"""


class LateWatcher(asyncio.ThreadedChildWatcher):
    """Reaps a child some time after its end, as on a machine that is busy."""

    def _do_waitpid(self, loop, expected_pid, callback, args):
        try:
            os.waitid(os.P_PID, expected_pid, os.WEXITED | os.WNOWAIT)
            time.sleep(LATE_S)
        except ChildProcessError:
            pass  # taken by another
        super()._do_waitpid(loop, expected_pid, callback, args)


class StandinHosts(Hosts):
    """Hosts whose processes only run and end."""

    async def recovered(self, begin, nodes=None, within=START_LIMIT_S):
        async def up():
            return all(os.path.getsize(self.log_path(node)) for node in self.nodes)
        if await self.until(up, begin, within) is None:
            self.faults.append("RECOVER a stand-in did not start")
        return ""


async def faults_with(code):
    with tempfile.TemporaryDirectory(prefix="camphornotch-soak-") as folder:
        program = os.path.join(folder, "standin")
        Hosts.write(program, PROGRAM.format(python=sys.executable, code=code))
        os.chmod(program, 0o700)
        os.environ["CAMPHORNOTCH_DAEMON"] = program
        hosts = StandinHosts(Record(folder), 3, 5, 1)
        try:
            await hosts.engine_hosts()
            await signals_while_stopping(hosts, random.Random(52))
            return hosts.faults, [f"FAULT {node}: code {code} after SIGTERM" for node in hosts.nodes if code != 0]
        finally:
            await hosts.end()


def main():
    asyncio.set_child_watcher(LateWatcher())
    wrong = 0
    for code in CODES:
        faults, expected = asyncio.run(faults_with(code))
        held = sorted(faults) == sorted(expected)
        wrong += not held
        print(f"{'ok ' if held else 'red'} processes that end with {code}: {len(faults)} faults, {len(expected)} expected")
        for fault in [] if held else faults:
            print(f"    {fault}")
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
