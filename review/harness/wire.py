"""HTTP/1.1 messages over asyncio streams."""

import asyncio


class Message:
    """One request or response.

    Attributes
    ----------
    start : list of str
        The three parts of the first line.
    headers : list of (str, str)
        Names in lower case, in the order received.
    body : bytes
    """

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), default)

    @property
    def status(self):
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader, has_body=True):
    """Return the next `Message`, or None at the end of the connection.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends within the message.
    ConnectionError
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    message = Message(first.split(" ", 2), headers)
    if not has_body:
        return message
    if message.get("transfer-encoding", "").lower() == "chunked":
        message.body = await _read_chunks(reader)
    else:
        length = int(message.get("content-length", "0"))
        if length:
            message.body = await reader.readexactly(length)
    return message


async def _read_chunks(reader):
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if not size:
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)


def encode_response(status, headers=(), body=b"", reason="-"):
    """Return the bytes of a response with a stated length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_request(method, target, headers=(), body=b""):
    """Return the bytes of a request; with a length if there is a body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
