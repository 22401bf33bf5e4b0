"""Cases of the soak: entries of another writer in the topics that operators and
engines write to, while all processes start again.
"""
import asyncio
import base64
import time
import urllib.parse

PAGE_RECORDS = 500
TOPICS = ("keyed.servers", "keyed.op")
# Prefixes of the names that fill a page, and the name at its end. The names of
# engines and of the operator follow on a later page.
PAGES = (("!", "#b"), ("#c", "%4"), ("%5", "&b"), ("&c", "+b"), ("+c", "1 2"), ("2", "3\r\n4"), ("4", "5?=/"),
         ("6", "7\x7f"), ("8", "9" * 255))
# Pages that one process reads of both topics at a start, each read twice.
MAX_READS = 4 * (len(PAGES) + 1)
# Values that no field of an engine's entry, or of its report, has.
ODD_VALUES = [None, -1, 1.5, 2 ** 70, -2 ** 70, 1e300, "", "x" * 70000, [], {}, [None], [[[[[[]]]]]], True, "\x00",
              [{"name": None, "version": -1, "adapters": 3}], [{}] * 400, "999.1.1.1:99999", ":0", "%41&b=c #"]
ODD_FIELDS = ("service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "stage", "models",
              "sequence", "born")
REPORT_FIELDS = ODD_FIELDS + ("busy", "waiting", "running", "kv_cache_used", "kv_cache_total", "handles")


def serve_decoded_pages(store):
    """Lets the store decode its queries and count the reads of newest records."""
    store.newest_reads = 0

    async def newest(request):
        store.newest_reads += 1
        query = dict(urllib.parse.parse_qsl(request.target.partition("?")[2], keep_blank_values=True))
        topic, after = query["topic"], query.get("after")
        keys = sorted(key for key in store.newest[topic] if after is None or key > after)
        items = [{"key": key, "value": base64.b64encode(store.newest[topic][key][0]).decode(),
                  "offset": store.newest[topic][key][1]} for key in keys[:PAGE_RECORDS]]
        request.channel.answer(200, {"items": items, "has_more": len(keys) > PAGE_RECORDS,
                                     "end": store.partitions[(topic, 0)].end})

    store.on_newest_call = newest


def put_odd_names(store):
    for topic in TOPICS:
        for prefix, odd_name in PAGES:
            for number in range(PAGE_RECORDS - 1):
                store.put(topic, f"{prefix}{number:03d}", {"note": "of another writer"})
            store.put(topic, odd_name, {"note": "of another writer"})


async def put_odd_entries(hosts, luck, name):
    """Entries of one name whose fields are odd, or that are no entries at all, one after the other."""
    for _ in range(12):
        entry = dict(luck.choice(hosts.engines).entry(), address=f"{hosts.net}.250:9")
        entry |= {field: luck.choice(ODD_VALUES) for field in luck.sample(ODD_FIELDS, 2)}
        hosts.store.put("keyed.servers", name, luck.choice([entry] * 6 + ODD_VALUES))
        await asyncio.sleep(0.25)
    hosts.store.put("keyed.servers", name, None)


async def odd_names_at_page_ends(hosts, _):
    """All processes start again while the entries stand."""
    serve_decoded_pages(hosts.store)
    await hosts.start_all()
    first = await hosts.recovered(time.monotonic())
    put_odd_names(hosts.store)
    await hosts.kill_all()
    hosts.store.newest_reads = 0
    await hosts.start_all()
    begin = time.monotonic()
    text = f"{first}; beside the entries: {await hosts.recovered(begin)} {await hosts.served_later(begin)}"
    most = MAX_READS * len(hosts.nodes)
    if hosts.store.newest_reads > most:
        hosts.faults.append(f"RECOVER {hosts.store.newest_reads} reads of newest records, {most} at most")
    return text


CASES = [odd_names_at_page_ends]
