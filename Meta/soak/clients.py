"""Callers of the soak: connections that are kept until the node's process is gone, fresh ones, callers that leave,
and callers that come back after a refusal."""

import asyncio
import time
from dataclasses import dataclass

from deployments import HOST

KEPT_SHARE = 0.8  # Of the requests that use a kept connection where there is one.
LEAVING_SHARE = 0.02  # Of the requests whose caller leaves before its deadline.
CHUNKED_SHARE = 0.3  # Of the bodies.
CONNECT_SECONDS = 1.0
GRACE_SECONDS = 0.7  # Beyond the deadline, in which an answer is still read.
PROMISES_NOT_RUN = (408, 421, 429, 503)


@dataclass
class Answer:
    """What a caller got for one attempt; status 0 if there was no whole answer."""

    attempt: str
    route: object
    status: int = 0
    stated_id: str = ""
    whole: bool = True
    retry_after: float = 0.0
    at: float = 0.0

    def belongs_to_another(self):
        """Errors of the node itself may come before it knows the attempt's id."""
        return self.status == 200 and (self.stated_id != self.attempt or not self.whole)


def encode_request(attempt, route, deadline_ms, chunked):
    method = "GET" if route.may_repeat else "POST"
    head = (f"{method} {route.prefix}x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n").encode()
    if method == "GET":
        return head + b"\r\n"
    body = b"b" * route.body_bytes
    if chunked:
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


async def read_answer(reader, answer):
    """Returns whether the connection may be kept. Raises if the answer is not whole."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length)
    answer.stated_id = headers.get("attempt-id", "")
    answer.retry_after = float(headers.get("retry-after", "0"))
    answer.status = int(lines[0].split(" ")[1])
    answer.whole = answer.status != 200 or f"call={answer.attempt}\n".encode() in body
    return headers.get("connection", "").lower() != "close"


class Callers:
    """Sends the requests of all routes to all machines, in a Poisson stream each, and keeps the answers."""

    def __init__(self, deployment, machines, source, name):
        self.deployment, self.machines, self.source, self.name = deployment, machines, source, name
        self.idle = {machine.outbound: [] for machine in machines}
        self.answers = []
        self.count = 0

    async def run(self, seconds):
        until = time.monotonic() + seconds
        streams = [self._stream(route, until) for route in self.deployment.routes]
        calls = [call for started in await asyncio.gather(*streams) for call in started]
        await asyncio.gather(*calls)

    async def _stream(self, route, until):
        """Returns the callers that it started."""
        started = []
        while time.monotonic() < until:
            await asyncio.sleep(self.source.expovariate(route.rate))
            started.append(asyncio.create_task(self._visit(route)))
        return started

    async def _visit(self, route):
        """One caller: an attempt, and another after a refusal or, where that is allowed, a failure."""
        deadline = time.monotonic() + route.timeout / 1000
        for _ in range(1 + route.retries):
            answer = await self._attempt(route, deadline)
            left = deadline - time.monotonic()
            refused = answer.status in PROMISES_NOT_RUN
            if left <= 0.02 or answer.status == 200 or not (refused or route.may_repeat):
                return
            await asyncio.sleep(min(answer.retry_after, left / 3))

    async def _attempt(self, route, deadline):
        self.count += 1
        answer = Answer(f"{self.name}-{self.count:06d}", route)
        self.answers.append(answer)
        machine = self.source.choice(self.machines)
        left = max(0.001, deadline - time.monotonic())
        leaving = self.source.random() < LEAVING_SHARE
        limit = left * self.source.random() if leaving else left + GRACE_SECONDS
        connection = None
        try:
            connection = await self._connect(machine.outbound)
            reader, writer = connection
            writer.write(encode_request(answer.attempt, route, max(1, int(left * 1000)),
                                        self.source.random() < CHUNKED_SHARE))
            if await asyncio.wait_for(read_answer(reader, answer), limit):
                self.idle[machine.outbound].append(connection)
                connection = None
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            answer.status = 0
        finally:
            answer.at = time.monotonic()
            if connection:
                connection[1].close()
        return answer

    async def _connect(self, address):
        kept = self.idle[address]
        if kept and self.source.random() < KEPT_SHARE:
            return kept.pop(self.source.randrange(len(kept)))
        host, port = address.split(":")
        return await asyncio.wait_for(asyncio.open_connection(host, int(port)), CONNECT_SECONDS)
