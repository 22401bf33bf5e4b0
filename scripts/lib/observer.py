"""Watches the configuration that each host has in force."""

import re
import threading
import time

from cluster import try_request

CONFIG_LINE = re.compile(r"^\w*config_offset (\S+)$", re.MULTILINE)


def config_offset(port, timeout=1.0):
    """The offset that a host has in force; None without an answer."""
    status, text = try_request(port, "GET", "/metrics", timeout=timeout)
    found = CONFIG_LINE.search(text) if status == 200 else None
    return None if found is None else float(found.group(1))


class ConfigObserver(threading.Thread):
    """Counts hosts whose configuration went back to an older one: within one
    boot at any time, or after a restart once they say that they are ready."""

    def __init__(self, cluster, interval=0.5):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.interval = interval
        self.highest = {}
        self.reverted = []
        self.ending = threading.Event()

    def run(self):
        """Looks at all hosts again and again."""
        while not self.ending.wait(self.interval):
            for name, host in self.cluster.hosts.items():
                self.look(name, host)

    def look(self, name, host):
        """Looks at one host."""
        boot = host.process.starts if host.process else 0
        pid = host.process.handle.pid if host.process else 0
        ready = try_request(host.http, "GET", "/readyz", timeout=0.5)[0] == 200
        offset = config_offset(host.http, 0.5)
        same = host.process and host.process.handle.pid == pid
        if offset is None or not same:
            return
        before_boot, before = self.highest.get(name, (boot, offset))
        if offset < before and (before_boot == boot or ready):
            self.reverted.append((time.time(), name, before, offset))
        if offset >= before or before_boot != boot:
            self.highest[name] = (boot, max(before, offset))

    def stop(self):
        """Ends the thread."""
        self.ending.set()
        self.join()
