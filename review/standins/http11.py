"""A small HTTP/1.1 server and client over asyncio, enough for the protocol's JSON calls."""

import asyncio
import json

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


async def read_head(reader):
    """Reads a start line and the headers. Returns None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").rstrip("\r\n"), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size:
                parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Server:
    """Serves `handler(method, target, body)`, which returns (status, JSON value)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, host, port, reuse_port=False):
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=1 << 20, reuse_port=reuse_port or None)
        return self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, value = await self.handler(method, target, body)
                data = json.dumps(value).encode()
                reason = REASONS.get(status, "Status")
                writer.write(f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(host, port, method, path, body=None, timeout=5.0):
    """One request on a connection of its own. Returns (status, body bytes), or raises OSError
    or asyncio.TimeoutError."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                         "Connection: close\r\n\r\n".encode() + data)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError("closed without an answer")
            status = int(head[0].split(" ")[1])
            return status, await read_body(reader, head[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.IncompleteReadError, ValueError, IndexError) as error:
        raise ConnectionError(str(error)) from error


class Connection:
    """A connection that stays open between requests, as a worker's to its controller."""

    def __init__(self):
        self.peer = None
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
        self.streams, self.peer = None, None

    async def call(self, host, port, method, path, body, timeout):
        try:
            return await asyncio.wait_for(
                self._exchange(host, port, method, path, body), timeout)
        except (asyncio.TimeoutError, OSError):
            self.close()
            raise
        except (asyncio.IncompleteReadError, ValueError, IndexError) as error:
            self.close()
            raise ConnectionError(str(error)) from error

    async def _exchange(self, host, port, method, path, body):
        if self.peer != (host, port):
            self.close()
        if not self.streams:
            self.streams = await asyncio.open_connection(host, port, limit=1 << 20)
            self.peer = (host, port)
        reader, writer = self.streams
        data = json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                     f"Content-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        status = int(head[0].split(" ")[1])
        answer = await read_body(reader, head[1])
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return status, answer
