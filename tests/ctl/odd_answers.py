"""The command-line tool beside a log, a host list and entries whose answers are
odd: it ends in time, by an exit code of its own. CAMPHORNOTCH_CTL names it.
"""
import http.server
import json
import os
import subprocess
import sys
import threading

LIMIT_S = 15
UNAVAILABLE = 4
RECORD = {"offset": 1, "data": "AAAA"}
ODD_NAMES = ["&", "+", "#", "%41", "a b", "a\r\nb", '"', "", "x" * 255, "\ufffd", "\x1b[2J", None, 7, [], {}]


def hosts_of(address):
    host = {"host": "entry-1", "role": "entry", "data_centre": "a", "region": "r", "state": "live",
            "address": address, "http": address}
    return {"generation": 1, "hosts": [host] + [dict(host, host=name, role="agent") for name in ODD_NAMES]
            + ODD_NAMES + [dict(host, address=name) for name in ODD_NAMES]}


def status_of(value):
    return {"host": "entry-1", "config": value, "log": value, "ready": value, "why_not_ready": value,
            "peers": [value, {"host": value}, {"host": "p", "role": value, "config_offset": value, "endpoint": value}]}


class Platform(http.server.ThreadingHTTPServer):
    """Answers each path with one body."""

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server_address[1]}"
        self.bodies = {}
        threading.Thread(target=self.serve_forever, daemon=True).start()


    def handle_error(self, *_):
        """A command that ends closes its connections."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = self.server.bodies.get(self.path.partition("?")[0], {"records": [], "oldest": 1, "next": 1})
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_):
        pass


def run(platform, *words):
    """@return the exit code; None: it did not end in time."""
    try:
        return subprocess.run([os.environ["CAMPHORNOTCH_CTL"], *words, f"--log={platform.address}",
                               f"--host_list={platform.address}"], capture_output=True, timeout=LIMIT_S,
                              check=False).returncode
    except subprocess.TimeoutExpired:
        return None


def main():
    platform, failures = Platform(), []

    def expect(codes, what, *words):
        code = run(platform, *words)
        print(f"{'ok ' if code in codes else 'red'} {' '.join(words)}: {what}: {code}", flush=True)
        if code not in codes:
            failures.append(what)

    pages = {"no JSON": b"\xff{", "a list": [], "no records": {}, "records that are none": {"records": 7},
             "the same page again": {"records": [RECORD], "oldest": 1, "next": 9},
             "records without offsets": {"records": [{"data": "AAAA"}, 7, None, []]},
             "an offset that is text": {"records": [dict(RECORD, offset="1")]}}
    for what, page in pages.items():
        platform.bodies["/v1/records"] = page
        for command in ("log", "show"):
            expect((UNAVAILABLE,), what, command)
    del platform.bodies["/v1/records"]
    for what, hosts in {"no JSON": b"\xff{", "a list": [], "hosts that are none": {"hosts": 7}}.items():
        platform.bodies["/v1/hosts"] = hosts
        expect(range(1, 7), f"hosts: {what}", "status")
    platform.bodies["/v1/hosts"] = hosts_of(platform.address)
    for value in ODD_NAMES + [-1, 2 ** 70, 1e300, True, [[[]]], {"offset": "x", "reachable": []}]:
        platform.bodies["/admin/status"] = status_of(value)
        expect((0,), f"status with {value!r:.20}", "status")
        expect((0,), f"status with {value!r:.20}", "status", "--json")
    platform.bodies["/admin/status"] = b'{"host": "\xff"}'
    expect((UNAVAILABLE,), "status that is no text", "status")
    print(f"{len(failures)} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
