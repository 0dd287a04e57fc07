"""HTTP/1.1 client of the soak test with persistent connections."""
import asyncio


def render_request(path, request, key, deadline, model, version="1.1", name="x"):
    lines = [f"POST /{path}/{name} HTTP/{version}", "Host: site.example", f"Request-Id: {request}",
             f"Deadline-Ms: {int(deadline * 1000)}", f"Authorization: Bearer {key}", "Content-Length: 4"]
    if model:
        lines += [f"Model: {model}", "Token-Count: 100,10"]
    return "\r\n".join(lines) + "\r\n\r\nbody"


class Response:
    def __init__(self):
        # 0 if no complete response head was received.
        self.status = 0
        self.headers = {}
        self.body = ""
        self.is_complete = False
        self.timed_out = False
        # Whether the gateway was stopping gracefully and had no other fault.
        self.during_graceful_stop = False


class Client:
    """Keeps one connection to each gateway until the gateway closes it or it fails."""

    def __init__(self, site):
        self.site = site
        self.connections = {}

    def close(self):
        for _, writer in self.connections.values():
            writer.close()
        self.connections = {}

    async def send_request(self, gateway, text, timeout, is_older=False):
        response = Response()
        exchange = self.exchange_once if is_older else self.exchange
        try:
            await asyncio.wait_for(exchange(gateway, text, response), timeout)
        except asyncio.TimeoutError:
            response.timed_out = True
            self.close_connection(gateway)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close_connection(gateway)
        return response

    def close_connection(self, gateway):
        connection = self.connections.pop(gateway.name, None)
        if connection:
            connection[1].close()

    async def exchange(self, gateway, text, response):
        if gateway.name in self.connections and self.connections[gateway.name][0].at_eof():
            self.close_connection(gateway)
        if gateway.name not in self.connections:
            self.connections[gateway.name] = await asyncio.open_connection(gateway.address, self.site.ports["front"])
        reader, writer = self.connections[gateway.name]
        writer.write(text.encode())
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        response.headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        response.status = int(lines[0].split()[1])
        if response.headers.get("transfer-encoding") == "chunked":
            await self.read_chunks(reader, response)
        else:
            length = int(response.headers.get("content-length", "0"))
            response.body = (await reader.readexactly(length)).decode()
            response.is_complete = True
        if response.headers.get("connection") == "close":
            self.close_connection(gateway)

    async def exchange_once(self, gateway, text, response):
        """Reads the response to a request of HTTP/1.0, whose body may end with its connection."""
        reader, writer = await asyncio.open_connection(gateway.address, self.site.ports["front"])
        try:
            writer.write(text.encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            response.headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            response.status = int(lines[0].split()[1])
            if length := response.headers.get("content-length"):
                response.body = (await reader.readexactly(int(length))).decode()
            else:
                while data := await reader.read(65536):
                    response.body += data.decode()
            response.is_complete = True
        finally:
            writer.close()

    async def read_chunks(self, reader, response):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = (await reader.readexactly(size + 2))[:size]
            if size == 0:
                response.is_complete = True
                return
            response.body += chunk.decode()
