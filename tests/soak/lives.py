"""Cases of the soak: what happens to processes on real hosts.

Each case drives Hosts and returns a text for the report; what broke a rule goes
to hosts.faults.
"""
import asyncio
import os
import signal
import time

from hosts import GRACE_S, HOST, PORTAL_PATH, Launch, call

STARTUP_MOMENTS_MS = (0, 1, 2, 4, 8, 16, 30, 60, 120, 250, 500, 1000)
STORE_AWAY_S = 6.0


def now():
    return time.monotonic()


async def plain_start(hosts, _):
    begin = now()
    await hosts.start_all()
    return await hosts.recovered(begin)


async def throttled_start(hosts, _):
    hosts.launch = Launch(throttled=True)
    return await plain_start(hosts, _)


async def reload_while_starting(hosts, luck):
    """SIGHUP at each moment after a start; moments are dealt out to the hosts."""
    begin = now()
    await asyncio.gather(*(signal_after_start(hosts, node, luck.choice(STARTUP_MOMENTS_MS)) for node in hosts.nodes))
    return await hosts.recovered(begin)


async def signal_after_start(hosts, node, delay_ms):
    await hosts.start(node)
    await asyncio.sleep(delay_ms / 1000)
    hosts.signal(node, signal.SIGHUP)


async def reload_storm(hosts, luck):
    """SIGHUP many times, from before the first instruction of a process on."""
    begin = now()

    async def one(node):
        await hosts.start(node)
        for _ in range(60):
            hosts.signal(node, signal.SIGHUP)
            await asyncio.sleep(luck.uniform(0.0, 0.01))
    await asyncio.gather(*(one(node) for node in hosts.nodes))
    return await hosts.recovered(begin)


async def stop_while_starting(hosts, luck):
    """SIGTERM at each moment after a start, and a start after the end."""
    async def one(node):
        await hosts.start(node)
        await asyncio.sleep(luck.choice(STARTUP_MOMENTS_MS) / 1000)
        hosts.signal(node, signal.SIGTERM)
        code = await hosts.ended(node)
        if code not in (0, -signal.SIGTERM):
            hosts.faults.append(f"FAULT {node}: code {code} after SIGTERM")
        await hosts.start(node)
    await asyncio.gather(*(one(node) for node in hosts.nodes))
    return await hosts.recovered(now())


async def kill_while_starting(hosts, luck):
    async def one(node):
        for _ in range(3):
            await hosts.start(node)
            await asyncio.sleep(luck.choice(STARTUP_MOMENTS_MS) / 1000)
            await hosts.kill_all([node])
        await hosts.start(node)
    await asyncio.gather(*(one(node) for node in hosts.nodes))
    return await hosts.recovered(now())


async def pause_while_starting(hosts, luck):
    """SIGSTOP at each moment after a start, for seconds."""
    begin = now()

    async def one(node):
        await hosts.start(node)
        await asyncio.sleep(luck.choice(STARTUP_MOMENTS_MS) / 1000)
        hosts.signal(node, signal.SIGSTOP)
        await asyncio.sleep(luck.uniform(0.5, 4.0))
        hosts.signal(node, signal.SIGCONT)
        return now()
    begin = max(await asyncio.gather(*(one(node) for node in hosts.nodes)))
    return await hosts.recovered(begin)


async def successor_beside_predecessor(hosts, luck):
    """A process is started while the one before it still drains, on all hosts
    or in turn."""
    await hosts.start_all()
    await hosts.recovered(now())
    nodes = list(hosts.nodes)
    luck.shuffle(nodes)
    before = {node: hosts.processes[node] for node in nodes}
    for node in nodes:
        hosts.signal(node, signal.SIGTERM)
        await hosts.start(node)
        await asyncio.sleep(luck.choice((0.0, 0.2)))
    await asyncio.gather(*(asyncio.wait_for(process.wait(), GRACE_S) for process in before.values()))
    return await hosts.recovered(now())


async def signals_while_stopping(hosts, luck):
    """Signals at each moment of a stop; the process still ends in time."""
    await hosts.start_all()
    await hosts.recovered(now())

    async def one(node):
        hosts.signal(node, signal.SIGTERM)
        for _ in range(4):
            await asyncio.sleep(luck.choice(STARTUP_MOMENTS_MS) / 1000)
            hosts.signal(node, luck.choice((signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGSTOP)))
            await asyncio.sleep(0.05)
            hosts.signal(node, signal.SIGCONT)
        code = await hosts.ended(node)
        if code != 0:
            hosts.faults.append(f"FAULT {node}: code {code} after SIGTERM")
        await hosts.start(node)
    await asyncio.gather(*(one(node) for node in hosts.nodes))
    return await hosts.recovered(now())


async def paused_at_once(hosts, luck):
    """All processes stand still for seconds, like a suspended machine."""
    await hosts.start_all()
    await hosts.recovered(now())
    for node in hosts.nodes:
        hosts.signal(node, signal.SIGSTOP)
    await asyncio.sleep(luck.uniform(3.0, 8.0))
    for node in hosts.nodes:
        hosts.signal(node, signal.SIGCONT)
    begin = now()
    return f"{await hosts.recovered(begin)} {await hosts.served_later(begin)}"


async def stopped_at_once(hosts, _):
    """SIGTERM to all hosts at the same time, then a start of all."""
    await hosts.start_all()
    await hosts.recovered(now())
    for node in hosts.nodes:
        hosts.signal(node, signal.SIGTERM)
    for node, code in zip(hosts.nodes, await asyncio.gather(*(hosts.ended(node) for node in hosts.nodes))):
        if code != 0:
            hosts.faults.append(f"FAULT {node}: code {code} after SIGTERM")
    await hosts.start_all()
    begin = now()
    return f"{await hosts.recovered(begin)} {await hosts.served_later(begin)}"


async def killed_at_once(hosts, luck):
    """All processes are killed under requests, and started again; twice."""
    await hosts.start_all()
    await hosts.recovered(now())
    texts = []
    for _ in range(2):
        requests = [asyncio.ensure_future(hosts.serves(luck.choice(hosts.gateways))) for _ in range(30)]
        await asyncio.sleep(luck.uniform(0.0, 0.03))
        await hosts.kill_all()
        await asyncio.gather(*requests)
        await hosts.start_all()
        begin = now()
        texts.append(await hosts.recovered(begin))
    texts.append(await hosts.served_later(begin))
    return "; ".join(texts)


async def killed_while_store_is_away(hosts, luck):
    await hosts.start_all()
    await hosts.recovered(now())
    hosts.store.listener.down()
    await hosts.kill_all()
    await asyncio.sleep(luck.uniform(0.5, 2.0))
    await hosts.start_all()
    await asyncio.sleep(STORE_AWAY_S)
    await hosts.store.listener.up()
    begin = now()
    return f"{await hosts.recovered(begin)} {await hosts.served_later(begin)}"


async def output_not_read(hosts, _):
    return await requests_beside_output(hosts, "unread")


async def output_reader_gone(hosts, _):
    return await requests_beside_output(hosts, "broken")


async def output_full(hosts, _):
    return await requests_beside_output(hosts, "full")


async def output_closed(hosts, _):
    text = await requests_beside_output(hosts, "closed")
    for node in hosts.nodes:
        for number in range(3):
            link = f"/proc/{hosts.processes[node].pid}/fd/{number}"
            target = os.readlink(link) if os.path.islink(link) else "closed"
            if target != "/dev/null":
                hosts.faults.append(f"FAULT {node}: descriptor {number}, an output, is {target}")
    return text


async def requests_beside_output(hosts, output):
    """Causes more log lines than a pipe holds, and then expects service."""
    hosts.launch = Launch(output=output)
    begin = now()
    await hosts.start_all()
    first = await hosts.recovered(begin)

    async def refused(node, count):
        for number in range(count):
            await call(hosts.front(node), "GET", f"{PORTAL_PATH}{'x' * 400}{number}",
                       {"Host": HOST, "X-Camphornotch-Request-Id": f"{node}-{number}",
                        "X-Camphornotch-Request-Deadline": 1000}, timeout=2.0)
    # A signal at a time, so that loaders write as well.
    for _ in range(1500):
        for node in hosts.loaders:
            hosts.signal(node, signal.SIGHUP)
        await asyncio.sleep(0.001)
    await asyncio.gather(*(refused(node, 400) for node in hosts.gateways))
    return f"{first}; after the lines: {await hosts.recovered(now())}"


async def bare_environment(hosts, _):
    """Names of a locale and a home that the host does not have."""
    hosts.launch = Launch(environment={"LANG": "xx_XX.UTF-8", "LC_ALL": "xx_XX.UTF-8", "HOME": "/nonexistent"})
    return await plain_start(hosts, _)


async def few_descriptors(hosts, _):
    """The soft limit of a login shell; the hard one is the host's."""
    hosts.launch = Launch(soft_descriptors=256)
    begin = now()
    await hosts.start_all()
    first = await hosts.recovered(begin)
    channels = []
    for node in hosts.gateways:
        for _ in range(400):
            try:
                channels.append(await asyncio.wait_for(asyncio.open_connection(*hosts.front(node)), 1.0))
            except (OSError, asyncio.TimeoutError):
                pass
    text = await hosts.recovered(now())
    for _, writer in channels:
        writer.close()
    return f"{first}; beside idle connections: {text}"


async def limited_address_space(hosts, _):
    """The memory of the host as a limit of the address space."""
    hosts.launch = Launch(address_space_mb=192)
    return await plain_start(hosts, _)


async def store_is_late(hosts, _):
    hosts.store.listener.down()
    await hosts.start_all()
    await asyncio.sleep(STORE_AWAY_S)
    await hosts.store.listener.up()
    return await hosts.recovered(now())


async def store_is_silent(hosts, _):
    return await store_misbehaves(hosts, lambda request: asyncio.sleep(60))


async def store_resets(hosts, _):
    async def reset(request):
        request.channel.reset()
    return await store_misbehaves(hosts, reset)


async def store_refuses(hosts, _):
    async def refuse(request):
        request.channel.answer(503, {})
    return await store_misbehaves(hosts, refuse, open_ones_too=True)


async def store_answers_garbage(hosts, _):
    async def garbage(request):
        request.channel.transport.write(b"\x00\xff not http\r\n\r\n")
    return await store_misbehaves(hosts, garbage)


async def store_misbehaves(hosts, handler, open_ones_too=False):
    """Before the first answer, and again in the middle of the run.
    @param open_ones_too whether connections that are open become sound again."""
    sound, listener = hosts.store.listener.handler, hosts.store.listener
    texts = []
    for turn in range(2):
        listener.handler = handler
        for channel in listener.channels:
            channel.handler = handler
        if turn == 0:
            await hosts.start_all()
        await asyncio.sleep(STORE_AWAY_S)
        listener.handler = sound
        for channel in listener.channels if open_ones_too else []:
            channel.handler = sound
        texts.append(await hosts.recovered(now()))
    return "; ".join(texts)


async def unchanged_command(hosts, luck):
    """The command of the deploy file to the letter; the settings lie where the
    environment says."""
    hosts.launch = Launch(unchanged_command=True)
    return await plain_start(hosts, luck)


CASES = [
    plain_start, throttled_start, unchanged_command, reload_while_starting, reload_storm, stop_while_starting,
    kill_while_starting, pause_while_starting, successor_beside_predecessor, signals_while_stopping,
    paused_at_once, stopped_at_once, killed_at_once, killed_while_store_is_away, output_not_read,
    output_reader_gone, output_full, output_closed, bare_environment, few_descriptors, limited_address_space,
    store_is_late, store_is_silent, store_resets, store_refuses, store_answers_garbage]
