"""Minimal HTTP/1.1 server and client on asyncio streams, for stand-ins."""

import asyncio


class Request:
    """One request as it was received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(
            pair.partition("=")[::2] for pair in query.split("&") if pair
        )
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def encode_answer(status, headers, body):
    """Encodes an answer with a length."""
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Status"))]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(address, on_request):
    """Serves until closed.

    on_request(request, connection) is awaited for each request in turn; it
    writes its answer to connection.writer and returns whether the connection is
    kept.
    """

    async def on_connection(reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await on_request(Request(method, target, head[1], body), connection):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, address[0], address[1], backlog=512)


class Connection:
    """A connection of a server; stand-ins keep their own marks on it."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        # Bytes that are sent where the next answer on this connection is due.
        self.late_copy = b""

    def closed_by_peer(self):
        return self.reader.at_eof() or self.writer.is_closing()


class Client:
    """A client connection that may be kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    def send(self, method, path, headers, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % item for item in headers.items()]
        lines.append("Content-Length: %d" % len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    async def receive(self):
        """Returns status, headers and body; None if the connection ended first."""
        head = await read_head(self.reader)
        if head is None:
            return None
        status = int(head[0].split(" ")[1])
        try:
            body = await read_body(self.reader, head[1])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return None
        return status, head[1], body


async def call(address, method, path, headers, body=b"", timeout=10.0):
    """One request on a new connection.

    Returns (status, headers, body), or None if no whole answer came.
    """

    async def exchange():
        client = Client(address)
        try:
            await client.open()
            client.send(method, path, dict(headers, Connection="close"), body)
            return await client.receive()
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            client.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return None
