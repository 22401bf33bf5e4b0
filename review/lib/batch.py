"""A trainer's side of batch submissions, as PROTOCOL.md describes it."""

import asyncio
import base64
import json

import http11
from deployment import Failure


def item(host, prefix, model, group, number, events, scoring_path):
    """One item; its engine makes that many events."""
    name = "e5b2%06x%06x" % (group, number)
    return {
        "id": name, "path": "%s3/%s" % (prefix, name),
        "body": base64.b64encode(b"plan").decode(),
        "headers": {"X-Camphornotch-Model": model,
                    "X-Camphornotch-Token-Usage": "1016,%d" % events,
                    "X-Camphornotch-Prompt-Prefix": "9c2e%02x:1000,%s:16" % (group, name)},
        "tokens": 1016 + events, "group": "g%d" % group,
        "scoring_call": {"id": "40c8" + name, "host": host, "path": scoring_path,
                         "body": base64.b64encode(b"check").decode()}}


def submission(model, items, wanted, min_version=1):
    return {"step": 1, "model": model, "min_version": min_version, "desired_count": wanted,
            "items": items}


async def submit(deployment, gateway, host, prefix, name, body):
    """Submits once and returns when the 202 came."""
    answer = await http11.call(
        gateway.front(), "POST", prefix + name,
        {"Host": host, "X-Camphornotch-Request-Id": name, "Content-Type": "application/json"},
        json.dumps(body).encode())
    if answer is None or answer[0] != 202:
        raise Failure("the submission was not accepted: %s" % (answer,))
    return deployment.record("accepted", submission=name, process=gateway.name)["at"]


async def read_results(deployment, host, name, total, until):
    """Reads results at any gateway until all are there or the time is over."""
    results = {}
    while len(results) < total and deployment.now() < until:
        gateway = deployment.random.choice(deployment.gateways())
        answer = await http11.call(
            gateway.front(), "GET", "/-/lots/%s?after=%d" % (name, len(results)),
            {"Host": host, "X-Camphornotch-Wait-Timeout": "1000"}, timeout=3.0)
        if answer is not None and answer[0] == 200:
            for result in json.loads(answer[2])["results"]:
                results[result["id"]] = result
                deployment.record("result read", id=result["id"], state=result["state"])
        else:
            deployment.record("read refused", status=answer[0] if answer else None)
        await asyncio.sleep(0.3)
    return results
