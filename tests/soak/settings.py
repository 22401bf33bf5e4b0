"""Cases of the soak: settings in which the platform leaves out values, or gives
them in another form.
"""
import os
import shutil
import time

from hosts import ROOT, Launch
from standins import Store

REPLACED_LINE = "unusable settings replaced"


def without(*path):
    def change(values):
        for name in path[:-1]:
            values = values[name]
        values.pop(path[-1], None)
    return change


def with_numbers(memory, descriptors, record_bytes):
    def change(values):
        values["limits"] = {"memory_mb": memory, "file_descriptors": descriptors}
        values["platform"]["record_bytes"] = record_bytes
    return change


def only_addresses(values):
    for name in ("node", "zone", "region", "zones", "limits", "bounds"):
        del values[name]
    for name in ("parts", "record_bytes"):
        del values["platform"][name]


def sixty_zones(values):
    values["zones"] = dict(values["zones"], **{f"zone-{number}": "elsewhere" for number in range(60)})


# Changes that cost a process a value; the settings of both roles have it.
CHANGES = {
    "no limits": without("limits"),
    "no memory": without("limits", "memory_mb"),
    "no descriptors": without("limits", "file_descriptors"),
    "no region": without("region"),
    "no zone": without("zone"),
    "no node": without("node"),
    "only addresses": only_addresses,
    "fractions": with_numbers(280.5, 8200.25, Store.RECORD_BYTES + 0.5),
    "unlimited": with_numbers("unlimited", "infinity", "none"),
    "negative": with_numbers(-1, -1, -1),
    "huge": with_numbers(10 ** 15, 1e30, 2 ** 70),
}
# Changes to values that one role has, or that need no replacement.
OTHER_CHANGES = {
    "no bounds": without("bounds"),
    "no parts": without("platform", "parts"),
    "no record_bytes": without("platform", "record_bytes"),
    "no zones": without("zones"),
    "no service": without("service"),
    "sixty zones": sixty_zones,
    "whole fractions": with_numbers(280.0, 8200.0, float(Store.RECORD_BYTES)),
}

REPLACED_FOR = {("gateway", "no bounds"), ("gateway", "no parts"), ("gateway", "no record_bytes"),
                ("gateway", "whole fractions"), ("loader", "whole fractions"), ("loader", "no service")}


async def settings_of_other_forms(hosts, luck):
    """Each change is played by a gateway and by a loader."""
    changes = list((CHANGES | OTHER_CHANGES).items())
    luck.shuffle(changes)
    texts = []
    for begin in range(0, len(changes), len(hosts.gateways)):
        dealt = changes[begin:begin + len(hosts.gateways)]
        for nodes in (hosts.gateways, hosts.loaders):
            hosts.changes.update(zip(nodes, dealt))
        began = time.monotonic()
        await hosts.start_all()
        texts.append(await hosts.recovered(began))
        for nodes in (hosts.gateways, hosts.loaders):
            for node, (name, _) in zip(nodes, dealt):
                expect_lines(hosts, node, name, lines_for(hosts, node, name))
        await hosts.kill_all()
        hosts.changes.clear()
        for node in hosts.nodes:
            os.truncate(hosts.log_path(node), 0)
    return "; ".join(texts)


def lines_for(hosts, node, name):
    """One line names all that was replaced."""
    role, _ = hosts.settings[node]
    return int(name in CHANGES or (role, name) in REPLACED_FOR)


def expect_lines(hosts, node, name, expected):
    """Lines of the log that say what was replaced."""
    with open(hosts.log_path(node), encoding="utf-8") as file:
        lines = sum(REPLACED_LINE in line for line in file)
    if lines != expected:
        hosts.faults.append(f"LOG {node}, {name}: {lines} lines say what was replaced, not {expected}")


async def settings_being_written(hosts, luck):
    """The platform writes the file while the process starts; a part of it, which
    ends at any byte or with any line, lies there meanwhile."""
    texts = []
    for _ in range(4):
        hosts.unfinished = lambda text: luck.choice((
            text[:luck.randrange(len(text))], text[:text.rfind("\n", 0, luck.randrange(1, len(text))) + 1]))
        began = time.monotonic()
        await hosts.start_all()
        texts.append(await hosts.recovered(began))
        for node in hosts.nodes:
            expect_lines(hosts, node, "a part of the file", 0)
        await hosts.kill_all()
        for node in hosts.nodes:
            os.truncate(hosts.log_path(node), 0)
    return "; ".join(texts)


async def program_copied(hosts, _):
    """The program lies in a folder of its own, without the files built beside it."""
    program = os.environ.get("CAMPHORNOTCH_DAEMON") or os.path.join(ROOT, hosts.roles["gateway"]["run"])
    hosts.launch = Launch(program=shutil.copy(program, hosts.folder.name))
    began = time.monotonic()
    await hosts.start_all()
    return await hosts.recovered(began)


CASES = [settings_of_other_forms, settings_being_written, program_copied]
