"""Variants of the soak's entries of another writer: name, place on the pages,
value, time, topic, size of the list, processes that start again, and a store
that is slow, refuses some connections or does not lead past the entry.

python3 odd_names.py [--only TEXT] [--random N --seed N] [--jobs N] plays them by
hand; those of CASES are cases of the soak.
"""
import argparse
import asyncio
import base64
import collections
import dataclasses
import itertools
import json
import random
import sys
import time
import urllib.parse

SERVERS, OPERATOR = "keyed.servers", "keyed.op"
NAMES = (b"b&b", b"b+b", b"b#b", b"b%b", b"b%41", b"b%26", b"b%00", b"b b", b"b\r\n", b'b"b', b"", 255 * b"b",
         b"b\xff\xfe")
PLACES = ("first", "middle", "last", "page 2", "page 3", "whole page")
VALUES = ("engine", "object", "no JSON")
TIMES = ("before the start", "before the restart", "after the restart", "written again", "deleted")
STORES = ("sound", "slow", "refuses some")
# What fails: the page after the entry, or the one with the entry on it; and how.
FAILURES = tuple(itertools.product(("cursor", "page"), ("410", "429", "500", "silent", "unreadable")))
SLOW_S = 0.24
REFUSING_S = 5.0
SILENT_S = 60.0
WRITE_PAUSE_S = 0.25


@dataclasses.dataclass(frozen=True)
class Variant:
    name: bytes = b"b&b"
    place: str = "last"
    value: str = "object"
    others: str = "object"     # value of the entries beside the odd ones
    time: str = "before the restart"
    topics: tuple = (SERVERS,)
    records: int = 501
    restarted: str = "all"
    page_records: int = 500
    store: str = "sound"
    fails: tuple = ()
    history: bool = False      # whether the records from before the restart are retained

    def __str__(self):
        default = Variant()
        parts = [f"{field.name}={getattr(self, field.name)!r}" for field in dataclasses.fields(self)
                 if getattr(self, field.name) != getattr(default, field.name)]
        return " ".join(parts) or "default"

    def odd_names(self):
        if self.place != "whole page":
            return [self.name]
        return [self.name[:200] + b"%03d" % number for number in range(self.page_records)]

    def names(self):
        """@return the names of another writer's entries; the odd ones are at their place of the sorted list."""
        before = {"first": 0, "middle": self.page_records // 2, "last": self.page_records - 1,
                  "page 2": 2 * self.page_records - 1, "page 3": 3 * self.page_records - 1,
                  "whole page": self.page_records}[self.place] if self.name else 0
        odd = self.odd_names()
        after = max(0, self.records - before - len(odd))
        return [b"a%04d" % number for number in range(before)] + odd + [b"c%04d" % number for number in range(after)]


def text_of(name):
    return name.decode("utf-8", "surrogateescape")


def bytes_of(text):
    return text.encode("utf-8", "surrogateescape")


class PagedStore:
    """Serves the newest records of the soak's store as PROTOCOL.md has them, with the trouble of a variant."""

    def __init__(self, store, variant):
        self.store, self.variant = store, variant
        self.reads = 0
        self.failing = False
        self.refusing_until = 0.0
        self.odd = set(variant.odd_names())
        self.refused = {}          # connection -> whether it is refused; every second one
        store.on_newest_call = self.newest

    def put(self, topic, name, value):
        part = self.store.partitions[(topic, 0)]
        if value:
            self.store.newest[topic][text_of(name)] = (value, part.end)
        else:
            self.store.newest[topic].pop(text_of(name), None)
        self.store.add((topic, 0), [bytes([len(name)]) + name + value])

    def forget(self, topic):
        """Lets the history of a topic expire."""
        part = self.store.partitions[(topic, 0)]
        part.first, part.records = part.end, []

    async def newest(self, request):
        self.reads += 1
        channel, variant = request.channel, self.variant
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2], keep_blank_values=True,
                                            errors="surrogateescape"))
        topic = query["topic"]
        after = bytes_of(query["after"]) if "after" in query else None
        if variant.store == "slow":
            await asyncio.sleep(SLOW_S)
        if time.monotonic() < self.refusing_until and self.refused.setdefault(channel, len(self.refused) % 2 == 0):
            channel.answer(503, {})
            return
        keys = sorted(key for key in map(bytes_of, self.store.newest[topic]) if after is None or key > after)
        page = keys[:variant.page_records]
        if self.failing and variant.fails and topic in variant.topics and (
                after in self.odd if variant.fails[0] == "cursor" else self.odd & set(page)):
            await self.fail(channel, variant.fails[1])
            return
        newest = self.store.newest[topic]
        items = [{"key": key.decode("utf-8", "replace"), "value": base64.b64encode(newest[text_of(key)][0]).decode(),
                  "offset": newest[text_of(key)][1]} for key in page]
        channel.answer(200, {"items": items, "has_more": len(keys) > len(page),
                             "end": self.store.partitions[(topic, 0)].end})

    @staticmethod
    async def fail(channel, how):
        if how == "silent":
            await asyncio.sleep(SILENT_S)
        elif how == "unreadable":
            channel.answer(200, b'{"items": [')
        else:
            channel.answer(int(how), {"first": 0} if how == "410" else {})


class Play:
    """One variant, on hosts of its own."""

    def __init__(self, hosts, variant):
        self.hosts, self.variant = hosts, variant
        self.paged = PagedStore(hosts.store, variant)

    def value(self, kind):
        if kind == "no JSON":
            return b"\xff{no"
        if kind == "object":
            return b"{}"
        return json.dumps(self.hosts.engines[0].entry()).encode()

    def put_names(self):
        for topic, name in itertools.product(self.variant.topics, self.variant.names()):
            self.paged.put(topic, name, self.value(
                self.variant.value if name in self.paged.odd else self.variant.others))

    async def write_again(self):
        while True:
            for topic, name in itertools.product(self.variant.topics, self.variant.odd_names()[:20]):
                self.paged.put(topic, name, self.value(self.variant.value))
            await asyncio.sleep(WRITE_PAUSE_S)

    async def delete_later(self):
        await asyncio.sleep(2.0)
        for topic, name in itertools.product(self.variant.topics, self.variant.odd_names()):
            self.paged.put(topic, name, b"")

    async def restart(self):
        hosts, variant = self.hosts, self.variant
        nodes = {"all": hosts.nodes, "gateways": hosts.gateways, "loaders": hosts.loaders}[variant.restarted]
        await hosts.kill_all(nodes)
        if not variant.history:
            for topic in variant.topics:
                self.paged.forget(topic)
        if variant.store == "refuses some":
            self.paged.refusing_until = time.monotonic() + REFUSING_S
        self.paged.failing = True
        self.paged.reads = 0
        await hosts.start_all(nodes)

    async def run(self):
        hosts, variant = self.hosts, self.variant
        if variant.time == "before the start":
            self.put_names()
        await hosts.start_all()
        await hosts.recovered(time.monotonic())
        if variant.time not in ("before the start", "after the restart"):
            self.put_names()
        await self.restart()
        begin = time.monotonic()
        if variant.time == "after the restart":
            self.put_names()
        later = {"written again": self.write_again, "deleted": self.delete_later}.get(variant.time)
        task = asyncio.ensure_future(later()) if later else None
        try:
            return f"{await hosts.recovered(begin)} {await hosts.served_later(begin)} reads {self.paged.reads}"
        finally:
            if task:
                task.cancel()


def variants():
    """@return each value of each field beside the defaults, and each failure where nothing leads past the entry."""
    rows = [Variant(name=name, topics=topics) for name in NAMES for topics in ((SERVERS,), (OPERATOR,))]
    rows += [Variant(name=name, place=place, records=1600) for place in PLACES for name in (b"b&b", b"b b")]
    rows += [Variant(place="whole page", name=name, records=1001) for name in NAMES if name]
    rows += [Variant(name=name, place="middle", page_records=1, records=4) for name in NAMES]
    rows += [Variant(name=name, value=value, topics=topics) for value in VALUES for name in (b"b&b", b'b"b')
             for topics in ((SERVERS,), (OPERATOR,))]
    rows += [Variant(value="engine", others="engine")]
    rows += [Variant(time=moment, topics=(SERVERS, OPERATOR)) for moment in TIMES]
    rows += [Variant(records=records) for records in (1001, 5000)]
    rows += [Variant(restarted=nodes, topics=(SERVERS, OPERATOR)) for nodes in ("gateways", "loaders")]
    rows += [Variant(store=store, topics=(SERVERS, OPERATOR)) for store in STORES[1:]]
    for fails in FAILURES:
        rows += [Variant(fails=fails), Variant(fails=fails, page_records=1, records=4, place="middle"),
                 Variant(fails=fails, place="whole page", records=1001),
                 Variant(fails=fails, topics=(OPERATOR,), page_records=1, records=4, place="middle", history=True),
                 Variant(fails=fails, topics=(OPERATOR,), page_records=1, records=4, place="middle",
                         restarted="gateways")]
    rows += [Variant(fails=("page", how), place="first") for how in ("500", "silent", "unreadable")]
    return list(dict.fromkeys(rows))


def random_variants(count, luck):
    def one():
        fails = luck.choice([()] * 2 + list(FAILURES))
        topics = luck.choice(((SERVERS,), (OPERATOR,), (SERVERS, OPERATOR)))
        return Variant(name=luck.choice(NAMES), place=luck.choice(PLACES), value=luck.choice(VALUES),
                       time=luck.choice(TIMES), topics=topics, records=luck.choice((501, 1001, 5000)),
                       restarted=luck.choice(("all", "gateways", "loaders")), store=luck.choice(STORES), fails=fails,
                       history=bool(fails) and OPERATOR in topics)
    return [one() for _ in range(count)]


def case_of(name, variant):
    async def case(hosts, _):
        return await Play(hosts, variant).run()
    case.__name__ = name
    return case


CASES = [
    case_of("odd_page_refused_cursors", Variant(fails=("cursor", "410"), place="whole page", records=1001)),
    case_of("odd_page_silent_cursors", Variant(fails=("cursor", "silent"), place="whole page", records=1001)),
    case_of("odd_entry_alone_refused_cursor",
            Variant(fails=("cursor", "500"), page_records=1, records=4, place="middle", topics=(SERVERS, OPERATOR),
                    history=True)),
    case_of("odd_entry_first_page_unreadable", Variant(fails=("page", "unreadable"), place="first")),
    case_of("odd_entries_of_one_engine", Variant(value="engine", others="engine")),
    case_of("odd_entry_gateways_restarted",
            Variant(fails=("cursor", "429"), topics=(OPERATOR,), page_records=1, records=4, place="middle",
                    restarted="gateways")),
]


async def play_all(rows, options):
    from process_soak import play
    gate = asyncio.Semaphore(options.jobs)
    tally = collections.Counter()

    async def one(variant):
        async with gate:
            print(f"{variant}", flush=True)
            tally[await play(case_of(f"[{variant}]", variant), options)] += 1

    await asyncio.gather(*(one(variant) for variant in rows))
    print(f"odd names: {tally[True]} passed, {tally[False]} failed")
    return tally[False] == 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="plays the variants whose text has this")
    parser.add_argument("--random", type=int, default=0, help="plays as many drawn ones instead")
    parser.add_argument("--seed", type=int, default=61)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--keep", default="")
    options = parser.parse_args()
    rows = random_variants(options.random, random.Random(options.seed)) if options.random else variants()
    rows = [row for row in rows if options.only in str(row)]
    sys.exit(0 if asyncio.run(play_all(rows, options)) else 1)


if __name__ == "__main__":
    main()
