"""Plays one case of review/: python3 review_case.py N

The scripts of review/ stay as they were handed over: they seek the program in
target/ below their root and write their record beside themselves, so that a
case is played in a copy. CAMPHORNOTCH_DAEMON names the program; otherwise it
is the one that the deploy file names. Exits with the case's code: 0 if the rule
held, 1 if it was broken, 2 if the case could not run.
"""
import argparse
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/packages/daemon/camphornotchd"
# The cases end themselves after 110 or 115 s.
CASE_LIMIT_S = 130
END_LIMIT_S = 10
SHOWN_RECORD_LINES = 40
SHOWN_LOG_LINES = 4
SHOWN_LINE_LENGTH = 300
# These switch a case's trouble off or make it another case.
SWITCHES = ("TROUBLE", "SEED", "SHEET", "OTHER_PATH")
HELD, BROKEN, NOT_RUN = 0, 1, 2
WORDS = ("held", "broken", "could not run")


def on_signal(number, _):
    raise SystemExit(128 + number)


def lay_out(folder, program):
    """Copies what the scripts use and links the program's folder."""
    unused = shutil.ignore_patterns("__pycache__", "record.txt")
    for name in ("review", "deploy"):
        shutil.copytree(ROOT / name, folder / name, ignore=unused)
    (folder / "tmp").mkdir()
    linked = (folder / PROGRAM).parent
    linked.parent.mkdir(parents=True)
    linked.symlink_to(program.parent)


def wait_end(process, within_s):
    """Waits without reaping, so that the group's id stays ours.
    @return whether it has ended"""
    until = time.monotonic() + within_s
    how = os.WEXITED | os.WNOWAIT | os.WNOHANG
    while os.waitid(os.P_PID, process.pid, how) is None:
        if time.monotonic() > until:
            return False
        time.sleep(0.05)
    return True


def play(number, folder):
    """@return the exit code of the case"""
    environment = {name: value for name, value in os.environ.items()
                   if name not in SWITCHES}
    environment["TMPDIR"] = str(folder / "tmp")
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    # lib leaves its logs in TMPDIR, lib2 copies them.
    environment["KEEP"] = "1"
    environment["KEEP_LOGS"] = str(folder / "tmp/kept")
    process = subprocess.Popen(
        ["bash", str(folder / f"review/{number}/run.sh")], cwd=folder,
        env=environment, stdin=subprocess.DEVNULL, stderr=subprocess.STDOUT,
        start_new_session=True)
    late = False
    try:
        late = not wait_end(process, CASE_LIMIT_S)
        if late:
            print(f"the case took over {CASE_LIMIT_S} s", flush=True)
            # It writes its record when it is told to end.
            process.terminate()
            wait_end(process, END_LIMIT_S)
    finally:
        os.killpg(process.pid, signal.SIGKILL)
        code = process.wait()
    return NOT_RUN if late else code


def show_end(path, count):
    lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    print(f"{path.name}, the last {min(count, len(lines))} of {len(lines)} lines:")
    for line in lines[-count:]:
        print("   ", line[:SHOWN_LINE_LENGTH])


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("number", type=int, help="the case's folder in review/")
    number = parser.parse_args().number
    if not (ROOT / f"review/{number}/run.sh").is_file():
        print(f"could not run: no case review/{number}")
        return NOT_RUN
    program = pathlib.Path(os.environ.get("CAMPHORNOTCH_DAEMON") or
                           ROOT / PROGRAM).absolute()
    if program.name != pathlib.Path(PROGRAM).name or not os.access(program, os.X_OK):
        print(f"could not run: no program {program}")
        return NOT_RUN
    for each in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(each, on_signal)
    with tempfile.TemporaryDirectory(prefix="camphornotch-case-") as name:
        folder = pathlib.Path(name)
        lay_out(folder, program)
        begin = time.monotonic()
        code = play(number, folder)
        took = time.monotonic() - begin
        record = folder / f"review/{number}/record.txt"
        if code == HELD and not (record.is_file() and record.stat().st_size):
            print("the case left no record")
            code = NOT_RUN
        if code not in (HELD, BROKEN, NOT_RUN):
            print(f"the case ended with code {code}")
            code = NOT_RUN
        print(f"review/{number}: {WORDS[code]} (exit {code}, {took:.1f} s)")
        if code != HELD:
            if record.is_file():
                show_end(record, SHOWN_RECORD_LINES)
            for log in sorted((folder / "tmp").glob("*/*.log")):
                if log.stat().st_size:
                    show_end(log, SHOWN_LOG_LINES)
    return code


if __name__ == "__main__":
    sys.exit(main())
