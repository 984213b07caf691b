"""Tests of where requests end, with cheroot's reading of them as the second opinion."""

import io
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameladder.request_limits import Cause, Limits, Refusal, RequestFramer
from sesameladder.request_limits._server import _BoundedRequest

LIMITS = Limits(
    header_bytes=200,
    header_lines=8,
    chunk_line_bytes=16,
    chunks=6,
    trailer_bytes=40,
    body_bytes=50,
)
NEXT_REQUEST = b"GET /next HTTP/1.1\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"

# Parts that make requests, and parts that make them ambiguous.
REQUEST_LINES = st.sampled_from(
    [
        POST,
        b"GET / HTTP/1.0\r\n",
        b"HEAD /%2f?q HTTP/1.1\r\n",
        b"GET //[ HTTP/1.1\r\n",
        b"GET http://a/ HTTP/1.1\r\n",
        b"CONNECT a:1 HTTP/1.1\r\n",
        b"GET / HTTP/2.0\r\n",
        b"get / HTTP/1.1\r\n",
        b"GET  / HTTP/1.1\r\n",
        b"GET / HTTP/1.1\n",
        b"\r\nGET / HTTP/1.1\r\n",
    ]
)
LENGTHS = st.sampled_from(
    [b"0", b"3", b"+3", b"-1", b" 3", b"3 ", b"3,3", b"1_0", b"51"]
)
HEADER_LINES = st.one_of(
    st.builds(
        lambda name, colon, value: name + colon + value + b"\r\n",
        st.sampled_from([b"Content-Length", b"content-length", b"Content_Length"]),
        st.sampled_from([b":", b": ", b" :", b":\t"]),
        LENGTHS,
    ),
    st.sampled_from(
        [
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: Chunked\r\n",
            b"Transfer-Encoding:\tchunked \r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Transfer_Encoding: chunked\r\n",
            b"Transfer-Encoding : chunked\r\n",
            b"Host: a\r\n",
            b"Expect: 100-continue\r\n",
            b"Connection: close\r\n",
            b" folded\r\n",
            b"A: b\n",
            b"A: b\rC: d\r\n",
            b"A: \xff\x00\r\n",
            b": b\r\n",
            b"no colon\r\n",
        ]
    ),
)
BODIES = st.one_of(
    st.sampled_from(
        [
            b"",
            b"abc",
            b"3\r\nabc\r\n0\r\n\r\n",
            b"3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n",
            b"+3\r\nabc\r\n0\r\n\r\n",
            b"0x3\r\nabc\r\n0\r\n\r\n",
            b"3\nabc\n0\n\n",
            b"3\r\nabcd\r\n0\r\n\r\n",
            b"-1\r\n",
            b"fffffffff\r\n",
            b"0\r\n\r\n",
            b"0\r\nGET / HTTP/1.1\r\n\r\n",
        ]
    ),
    st.binary(max_size=60),
)
MIXED_MESSAGES = st.builds(
    lambda line, headers, body: line + b"".join(headers) + b"\r\n" + body,
    REQUEST_LINES,
    st.lists(HEADER_LINES, max_size=5),
    BODIES,
)
SOUND_LINES = st.lists(
    st.sampled_from([b"Host: a\r\n", b"A: b\r\n", b"Expect: 100-continue\r\n"]),
    max_size=3,
    unique=True,
)
SOUND_TARGETS = st.sampled_from([b"/", b"/a%2fb?q=1", b"//a/b", b"/;x"])


def build_sound(
    target: bytes, lines: list[bytes], framing: bytes, body: bytes
) -> bytes:
    """Return a request whose framing line stands among its other lines."""
    lines = sorted([*lines, framing])
    return b"POST " + target + b" HTTP/1.1\r\n" + b"".join(lines) + b"\r\n" + body


KNOWN_LENGTH_MESSAGES = st.builds(
    lambda target, lines, body: build_sound(
        target, lines, b"Content-Length: %d\r\n" % len(body), body
    ),
    SOUND_TARGETS,
    SOUND_LINES,
    st.one_of(st.binary(max_size=50), st.just(NEXT_REQUEST)),
)
CHUNKED_MESSAGES = st.builds(
    lambda target, lines, chunks, extension, trailers: build_sound(
        target,
        lines,
        b"Transfer-Encoding: chunked\r\n",
        b"".join(b"%x%s\r\n%s\r\n" % (len(c), extension, c) for c in chunks)
        + b"0\r\n"
        + b"".join(trailers)
        + b"\r\n",
    ),
    SOUND_TARGETS,
    SOUND_LINES,
    st.lists(st.binary(min_size=1, max_size=12), max_size=4),
    st.sampled_from([b"", b";a=b", b" "]),
    st.lists(st.sampled_from([b"A: b\r\n", b"Content-Length: 9\r\n"]), max_size=2),
)


@st.composite
def mutate(draw: st.DrawFn, streams: st.SearchStrategy[bytes]) -> bytes:
    """Return a stream in which up to two places are replaced or gain a few bytes."""
    stream = draw(streams)
    for _ in range(draw(st.integers(0, 2))):
        place = draw(st.integers(0, len(stream)))
        removed = draw(st.integers(0, 2))
        inserted = draw(st.sampled_from([b"", b"\r", b"\n", b" ", b"0", b"+", b"\r\n"]))
        stream = stream[:place] + inserted + stream[place + removed :]
    return stream


STREAMS = st.one_of(
    mutate(
        st.lists(
            st.one_of(KNOWN_LENGTH_MESSAGES, CHUNKED_MESSAGES, MIXED_MESSAGES),
            min_size=1,
            max_size=3,
        ).map(b"".join)
    ),
    st.binary(max_size=300),
)


def read_requests(parts: list[bytes]) -> tuple[list[Any], Refusal | None]:
    """Return the requests in a stream and the refusal that ends it, if any."""
    framer = RequestFramer(lambda: LIMITS)
    requests = []
    try:
        for part in parts:
            framer.feed(part)
            while framer.is_complete:
                requests.append(framer.take())
                framer.feed(b"")
    except Refusal as refusal:
        return requests, refusal
    return requests, None


def parse_with_cheroot(header: bytes) -> Any:
    """Return the request as cheroot understands it, and its answer to a bad one."""
    server = SimpleNamespace(
        ssl_adapter=None,
        max_request_header_size=0,
        max_request_body_size=0,
        protocol="HTTP/1.1",
    )
    output = SimpleNamespace(pending=bytearray())
    output.write = output.pending.extend
    connection = SimpleNamespace(rfile=io.BytesIO(header), wfile=output)
    request = _BoundedRequest(server, connection)
    request.parse_request()
    return request


@settings(max_examples=400, derandomize=True, deadline=None)
@given(STREAMS, st.lists(st.integers(1, 40), max_size=30))
def test_any_split_gives_the_same_requests(stream: bytes, sizes: list[int]) -> None:
    """Guards against requests that depend on how the network splits them.

    Any exception but ``Refusal`` fails the test.
    """
    parts = []
    rest = stream
    for size in sizes:
        parts.append(rest[:size])
        rest = rest[size:]
    requests, refusal = read_requests([stream])
    split_requests, split_refusal = read_requests([*parts, rest])
    single_requests, single_refusal = read_requests([bytes([b]) for b in stream])
    assert requests == split_requests == single_requests
    assert (refusal is None) == (split_refusal is None) == (single_refusal is None)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(STREAMS)
def test_requests_are_understood_in_one_way(stream: bytes) -> None:
    """Guards against a body whose length cheroot or a proxy reads differently.

    Each request is given to cheroot, and read again in front of another one.
    """
    for request in read_requests([stream])[0]:
        parsed = parse_with_cheroot(request.header)
        if not parsed.ready:
            assert b" 400 " in parsed.conn.wfile.pending or (
                b" 405 " in parsed.conn.wfile.pending
            )
            continue
        assert parsed.chunked_read == request.is_chunked
        names = {
            line.partition(b":")[0].strip().lower().replace(b"_", b"-")
            for line in request.header.split(b"\r\n")[1:]
        }
        if request.is_chunked:
            assert b"content-length" not in names
            body = b"%x\r\n%s\r\n" % (len(request.body), request.body)
            body = (body if request.body else b"") + b"0\r\n\r\n"
        else:
            assert b"transfer-encoding" not in names
            assert int(parsed.inheaders.get(b"Content-Length", 0)) == len(request.body)
            body = request.body
        again, refusal = read_requests([request.header + body + NEXT_REQUEST])
        assert refusal is None
        assert again[0] == request
        assert again[1].header == NEXT_REQUEST


@pytest.mark.parametrize(
    ("data", "cause", "status"),
    [
        (b"GET /" + b"x" * 200, Cause.REQUEST_LINE, 414),
        (b"GET / HTTP/1.1\r\nA: " + b"x" * 200, Cause.HEADER_BYTES, 431),
        (b"GET / HTTP/1.1\r\n" + b"A:\r\n" * 9 + b"\r\n", Cause.HEADER_LINES, 431),
        (POST + b"Content-Length: 51\r\n\r\n", Cause.BODY_BYTES, 413),
        (POST + b"Content-Length: 9" + b"0" * 17 + b"\r\n\r\n", Cause.BODY_BYTES, 413),
        (
            POST + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
            Cause.MALFORMED,
            400,
        ),
        (POST + b"Content-Length: +3\r\n\r\n", Cause.MALFORMED, 400),
        (POST + b"Content-Length:\r\n\r\n", Cause.MALFORMED, 400),
        (POST + b"Content-Length : 3\r\n\r\n", Cause.MALFORMED, 400),
        (POST + b"Content_Length: 3\r\n\r\n", Cause.MALFORMED, 400),
        (
            POST + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
            Cause.MALFORMED,
            400,
        ),
        (
            b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
            Cause.MALFORMED,
            400,
        ),
        (POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n", Cause.UNSUPPORTED, 501),
        (POST + b"Host: a\r\nHost: b\r\n\r\n", Cause.MALFORMED, 400),
        (CHUNKED + b"33\r\n", Cause.BODY_BYTES, 413),
        (CHUNKED + b"9" * 16, Cause.CHUNK_LINE, 400),
        (CHUNKED + b"1\r\nx\r\n" * 7, Cause.CHUNKS, 413),
        (CHUNKED + b"-1\r\n", Cause.MALFORMED, 400),
        (CHUNKED + b" 1\r\n", Cause.MALFORMED, 400),
        (CHUNKED + b"0\r\n" + b"A: b\r\n" * 7, Cause.TRAILERS, 431),
        (CHUNKED + b"0\r\nA: " + b"x" * 40, Cause.TRAILERS, 431),
        (b"\r\n\r\n", Cause.MALFORMED, 400),
        (b"GET / HTTP/3.0\r\n\r\n", Cause.UNSUPPORTED, 505),
    ],
)
def test_request_beyond_a_limit_is_refused(
    data: bytes, cause: Cause, status: int
) -> None:
    """Guards against a limit that is passed, or refused for another reason."""
    requests, refusal = read_requests([data])
    assert requests == []
    assert refusal is not None
    assert (refusal.cause, refusal.status) == (cause, status)


def test_requests_at_the_limits_are_read() -> None:
    """Guards against a limit that refuses what it allows."""
    header = b"GET / HTTP/1.1\r\nA: " + b"x" * 177 + b"\r\n\r\n"
    assert len(header) == LIMITS.header_bytes
    body = b"x" * LIMITS.body_bytes
    chunked = CHUNKED + b"32\r\n" + body + b"\r\n0\r\nA: " + b"x" * 33 + b"\r\n\r\n"
    known = POST + b"Content-Length: 50\r\n\r\n" + body
    requests, refusal = read_requests([header + chunked + known])
    assert refusal is None
    assert [r.body for r in requests] == [b"", body, body]
