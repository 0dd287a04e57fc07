"""The soak's callers: HTTP/1.1 on connections that are kept until they break."""
import asyncio


def request_text(kind, request, key, deadline, model):
    lines = [f"POST /{kind}/x HTTP/1.1", "Host: site.example", f"Request-Id: {request}",
             f"Deadline-Ms: {int(deadline * 1000)}", f"Authorization: Bearer {key}", "Content-Length: 4"]
    if model:
        lines += [f"Model: {model}", "Token-Count: 100,10"]
    return "\r\n".join(lines) + "\r\n\r\nbody"


class Answer:
    def __init__(self):
        # 0 if no whole head came.
        self.status = 0
        self.headers = {}
        self.body = ""
        self.is_whole = False
        self.timed_out = False
        # The gateway was being stopped, and nothing else was wrong.
        self.at_stop = False


class Client:
    """Keeps one connection to each gateway for as long as that lets it."""

    def __init__(self, site):
        self.site = site
        self.connections = {}

    def close(self):
        for _, writer in self.connections.values():
            writer.close()
        self.connections = {}

    async def ask(self, gateway, text, limit):
        answer = Answer()
        try:
            await asyncio.wait_for(self.exchange(gateway, text, answer), limit)
        except asyncio.TimeoutError:
            answer.timed_out = True
            self.drop(gateway)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.drop(gateway)
        return answer

    def drop(self, gateway):
        connection = self.connections.pop(gateway.name, None)
        if connection:
            connection[1].close()

    async def exchange(self, gateway, text, answer):
        if gateway.name not in self.connections:
            self.connections[gateway.name] = await asyncio.open_connection(gateway.address, self.site.ports["front"])
        reader, writer = self.connections[gateway.name]
        writer.write(text.encode())
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        answer.headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        answer.status = int(lines[0].split()[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            await self.read_chunks(reader, answer)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = (await reader.readexactly(length)).decode()
            answer.is_whole = True
        if answer.headers.get("connection") == "close":
            self.drop(gateway)

    async def read_chunks(self, reader, answer):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = (await reader.readexactly(size + 2))[:size]
            if size == 0:
                answer.is_whole = True
                return
            answer.body += chunk.decode()
