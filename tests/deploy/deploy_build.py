"""Builds by the line of deploy/system.toml in a fresh folder and shows that it
needs its `packages` alone: python3 deploy_build.py [--source FOLDER].

Each program that is run or sought and each file that is used has to come from
these packages, from what they depend on, or from an essential package; a
program not from what a library (-dev) brings.
"""

import argparse
import os
import pathlib
import re
import shlex
import shutil
import subprocess
import sys
import tempfile
import tomllib

import debian
import traced

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEARCH_PATH = "/usr/local/sbin:/usr/local/bin:/usr/sbin:/usr/bin:/sbin:/bin"
# Kernel interfaces, and settings that a system makes when it is installed.
SYSTEM_FOLDERS = ("/proc/", "/sys/", "/dev/", "/etc/", "/usr/lib/locale/")
# The linker loads every plugin that is installed.
PLUGIN_FOLDER = "/bfd-plugins/"
# CMake seeks more programs than it needs in any project of this language.
EMPTY_PROJECT = """cmake_minimum_required(VERSION 3.22)
project(empty LANGUAGES C CXX)
"""
ABSOLUTE_PATH = re.compile(r"(?<![^\s='\"])/[^\s:;,'\"$|]+")
SHOWN_FAILURES = 40


class Failure(Exception):
    """The build cannot be judged, or has failed."""


def copy_source(source, target):
    """Copies the files that git tracks or would add, as they are now."""
    listed = subprocess.run(
        ["git", "ls-files", "-z", "--cached", "--others",
         "--exclude-standard"], cwd=source, check=True, capture_output=True,
        text=True).stdout
    for name in filter(None, listed.split("\0")):
        # Figures of earlier runs are no part of the sources.
        if name.startswith("journal/") or not (source / name).is_file():
            continue
        (target / name).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source / name, target / name)


def program_name(path):
    """The name of a program that this path may be, else nothing."""
    folder, name = os.path.split(path)
    if os.path.basename(folder) in ("bin", "sbin") and not os.path.isdir(path):
        return name
    return None


class BuildCheck:
    """Holds the files that a build uses against the packages it declares."""

    def __init__(self, declared):
        packages = debian.Packages()
        self.owners = debian.owners()
        self.allowed, missing = packages.with_dependencies(declared)
        if missing:
            raise Failure("not installed here: " + " ".join(sorted(missing)))
        # A library's dependencies may bring an interpreter; a build that runs
        # it has not declared it.
        self.allowed_for_programs, _ = packages.with_dependencies(
            [name for name in declared if not name.endswith("-dev")])
        self.programs = {program_name(path)
                         for path, names in self.owners.items()
                         if names & self.allowed_for_programs}
        self.failures = set()

    def is_declared(self, path):
        """Whether a file comes from the packages, by any of its links."""
        allowed = (self.allowed_for_programs if program_name(path)
                   else self.allowed)
        return any(self.owners.get(link, set()) & allowed
                   for link in (debian.real_path(path), os.path.realpath(path)))

    def check_trace(self, trace, own_folders, known_programs):
        """Judges what a command asked for.

        own_folders: folders whose files are its own. known_programs: names
        that may be sought although no package has them.
        """
        self.check_files("run", trace.run, own_folders)
        self.check_files("found", trace.found, own_folders)
        names = {program_name(path) for path in trace.sought
                 if not path.startswith(own_folders)}
        for name in names - known_programs - self.programs - {None}:
            self.failures.add(f"sought: program {name}")

    def check_files(self, kind, paths, own_folders):
        """Judges files that a build uses."""
        for path in paths:
            real = os.path.realpath(path)
            if (os.path.isfile(real) and not real.startswith(own_folders)
                    and not real.startswith(SYSTEM_FOLDERS)
                    and PLUGIN_FOLDER not in path
                    and not self.is_declared(path)):
                self.failures.add(f"{kind}: {path} ({self.origin(real)})")

    def origin(self, path):
        """The packages of a file, in words."""
        names = self.owners.get(debian.real_path(path))
        return "package " + ", ".join(sorted(names)) if names else "no package"


def sought_by_cmake(work, environment):
    """Names of programs that CMake seeks for a project with nothing in it."""
    empty = work / "empty"
    empty.mkdir()
    (empty / "CMakeLists.txt").write_text(EMPTY_PROJECT)
    status, output, trace = traced.run_traced(
        ["cmake", "-S", ".", "-B", "target", "-G", "Ninja"], empty,
        environment, work / "empty-records")
    if status != 0:
        raise Failure(output)
    return {program_name(path) for path in trace.sought}


def compiled_files(target):
    """The headers that compilers read, and what the build's rules name."""
    headers = subprocess.run(["ninja", "-C", target, "-t", "deps"], check=True,
                             capture_output=True, text=True).stdout
    rules = (target / "build.ninja").read_text()
    return set(ABSOLUTE_PATH.findall(headers + rules))


def check_build(source, work):
    """Builds a copy of the sources in an empty folder; returns failures."""
    tree = work / "source"
    home = work / "home"
    for folder in (tree, home):
        folder.mkdir()
    copy_source(source, tree)
    deploy = tomllib.loads((tree / "deploy" / "system.toml").read_text())
    before = {path for path in tree.rglob("*")}
    check = BuildCheck(deploy["packages"])
    environment = {"PATH": SEARCH_PATH, "HOME": str(home), "LANG": "C.UTF-8",
                   "TMPDIR": str(home)}
    own = (f"{work}/",)
    known = sought_by_cmake(work, environment)
    status, output, trace = traced.run_traced(
        ["sh", "-c", deploy["build"]], tree, environment, work / "records")
    check.check_trace(trace, own, known)
    if status != 0:
        check.failures.add("the build failed:\n" + output[-2000:])
        return check.failures
    check.check_files("compiled or linked", compiled_files(tree / "target"),
                      own)
    # Other compilers than the tests' have other warnings.
    if "-Werror" in (tree / "target" / "build.ninja").read_text():
        check.failures.add("warnings end the build: -Werror")
    for path in set(tree.rglob("*")) - before:
        if not path.is_relative_to(tree / "target"):
            check.failures.add(f"written outside target/: {path.name}")
    for program in {shlex.split(role["run"])[0]
                    for role in deploy["roles"].values()}:
        status, output, trace = traced.run_traced(
            [tree / program, "--help"], tree, environment,
            work / f"records-{pathlib.Path(program).name}")
        check.check_trace(trace, own, known)
        if status != 0:
            check.failures.add(f"{program} --help ends with {status}:\n"
                               + output[-2000:])
    return check.failures


def main():
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--source", type=pathlib.Path, default=ROOT,
                        help="a git checkout of this project")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="camphornotch-build-") as work:
        failures = sorted(check_build(arguments.source.resolve(),
                                      pathlib.Path(work).resolve()),
                          key=lambda text: (text.startswith("found"), text))
    for failure in failures[:SHOWN_FAILURES]:
        print(failure)
    print(f"deploy build: {len(failures)} failures")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
