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
# Changes to values that gateways alone have, or that need no replacement.
QUIET_CHANGES = {
    "no bounds": without("bounds"),
    "no parts": without("platform", "parts"),
    "no record_bytes": without("platform", "record_bytes"),
    "no zones": without("zones"),
    "no service": without("service"),
    "sixty zones": sixty_zones,
    "whole fractions": with_numbers(280.0, 8200.0, float(Store.RECORD_BYTES)),
}


async def settings_of_other_forms(hosts, luck):
    """Each change is played by a gateway and by a loader."""
    changes = list((CHANGES | QUIET_CHANGES).items())
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
                expect_line(hosts, node, name)
        await hosts.kill_all()
        hosts.changes.clear()
        for node in hosts.nodes:
            os.truncate(hosts.log_path(node), 0)
    return "; ".join(texts)


def expect_line(hosts, node, name):
    """One line of the log says what was replaced."""
    with open(hosts.log_path(node), encoding="utf-8") as file:
        lines = sum(REPLACED_LINE in line for line in file)
    if name in CHANGES and lines != 1:
        hosts.faults.append(f"LOG {node}, {name}: {lines} lines say what was replaced")


async def settings_being_written(hosts, _):
    """The platform writes the file while the process starts."""
    hosts.write_delay_s = 0.4
    began = time.monotonic()
    await hosts.start_all()
    return await hosts.recovered(began)


async def program_copied(hosts, _):
    """The program lies in a folder of its own, without the files built beside it."""
    program = os.environ.get("CAMPHORNOTCH_DAEMON") or os.path.join(ROOT, hosts.roles["gateway"]["run"])
    hosts.launch = Launch(program=shutil.copy(program, hosts.folder.name))
    began = time.monotonic()
    await hosts.start_all()
    return await hosts.recovered(began)


CASES = [settings_of_other_forms, settings_being_written, program_copied]
