"""Runs a command and tells which programs and files it and its children run or
look for. Files that they open without a look are not seen: compilers open far
too many for that, and name them in their dependency files."""

import os
import pathlib
import re
import subprocess

# Calls that only some architectures have are marked with "?".
CALLS = "execve,execveat,?access,faccessat,?faccessat2,%%stat"
CALL = re.compile(r'^(\w+)\((.*)\) += (-?\d+)')
PATH = re.compile(r'"((?:[^"\\]|\\.)*)"')


class Trace:
    """Absolute paths that a command asked for."""

    def __init__(self):
        self.run = set()
        self.found = set()
        self.sought = set()

    def add(self, line):
        """Takes one line of the record of a process."""
        call = CALL.match(line)
        if not call:
            return
        name, arguments, result = call.groups()
        path = PATH.search(arguments)
        if not path or not path.group(1).startswith("/"):
            return
        path = path.group(1)
        self.sought.add(path)
        if int(result) < 0:
            return
        if name.startswith("execve"):
            self.run.add(path)
        else:
            self.found.add(path)


def run_traced(command, folder, environment, records):
    """Runs a command to its end.

    records is a folder for one file a process. Returns (status, output, Trace).
    """
    records.mkdir()
    ended = subprocess.run(
        ["strace", "-ff", "-qq", "--seccomp-bpf", "-s", "4096", "-e",
         f"trace={CALLS}", "-e", "signal=none", "-o", records / "process",
         *command],
        cwd=folder, env=environment, stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
        errors="replace", check=False)
    trace = Trace()
    for record in pathlib.Path(records).iterdir():
        with open(record, errors="replace") as lines:
            for line in lines:
                trace.add(line)
        os.unlink(record)
    return ended.returncode, ended.stdout, trace
