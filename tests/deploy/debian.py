"""What dpkg knows: which packages a list of packages brings, and which package
a file is from."""

import os
import pathlib
import re
import subprocess

INFO = pathlib.Path("/var/lib/dpkg/info")
FIELDS = ("Package", "Architecture", "Essential", "Status", "Depends",
          "Pre-Depends", "Provides")


def alternatives(text):
    """The relations of a field, each as a list of package names."""
    relations = []
    for relation in filter(None, (part.strip() for part in text.split(","))):
        relations.append([re.split(r"[ :(]", name.strip(), maxsplit=1)[0]
                          for name in relation.split("|")])
    return relations


class Packages:
    """The installed packages."""

    def __init__(self):
        form = "\x1f".join(f"${{{field}}}" for field in FIELDS) + "\x1e"
        text = subprocess.run(["dpkg-query", "-W", "-f", form], check=True,
                              capture_output=True, text=True).stdout
        self.essential = set()
        self.needs = {}
        self.providers = {}
        for line in filter(None, text.split("\x1e")):
            fields = dict(zip(FIELDS, line.split("\x1f")))
            if not fields["Status"].endswith(" installed"):
                continue
            name = fields["Package"]
            if fields["Essential"] == "yes":
                self.essential.add(name)
            self.needs.setdefault(name, []).extend(
                alternatives(fields["Depends"]) +
                alternatives(fields["Pre-Depends"]))
            for (provided,) in alternatives(fields["Provides"]):
                self.providers.setdefault(provided, []).append(name)

    def with_dependencies(self, names):
        """What a minimal system has after these packages are installed.

        Recommended packages do not count, since they can be left out. Of
        alternatives the first that is installed counts. Returns (names, those
        asked for that are not installed here).
        """
        found, missing = set(), set()
        waiting = [[name] for name in {*names, *self.essential}]
        while waiting:
            relation = waiting.pop()
            name = next(filter(None, map(self.installed, relation)), None)
            if name is None:
                missing.add(" | ".join(relation))
            elif name not in found:
                found.add(name)
                waiting.extend(self.needs[name])
        return found, missing & set(names)

    def installed(self, name):
        """An installed package of that name, or one that provides it."""
        if name in self.needs:
            return name
        return next(iter(self.providers.get(name, [])), None)


def real_path(path):
    """The path with its folder's links resolved, as /bin may be one."""
    folder, name = os.path.split(path)
    return os.path.join(os.path.realpath(folder), name)


def owners():
    """The packages of each installed file, by its path."""
    result = {}
    for listing in INFO.glob("*.list"):
        package = listing.name[:-len(".list")].split(":")[0]
        for path in listing.read_text().splitlines():
            result.setdefault(real_path(path), set()).add(package)
    return result
