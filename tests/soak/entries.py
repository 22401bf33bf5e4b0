"""Cases of the soak: entries of another writer in the topics that operators and
engines write to, while all processes start again.
"""
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
