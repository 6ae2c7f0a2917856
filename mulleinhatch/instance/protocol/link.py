"""Lines of the interpreter's link: commands out, notices in."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode

from mulleinhatch.admission.interface import Ending

ENDINGS = {"good": Ending.OK, "bad": Ending.ERROR, "cut": Ending.STOPPED, "gone": Ending.MOOT}


def connect(last_notice: int) -> list[bytes]:
    return [b'{"t":"CONNECT","no":%d}\n' % last_notice]


def apply(ref: str, op_type: str, body: bytes) -> list[bytes]:
    """
    >>> b"".join(apply("9b", "read", b"hi"))
    b'{"t":"APPLY","rid":"9b","route":"read","b64":"aGk="}\\n'
    """
    words = f'{{"t":"APPLY","rid":{json.dumps(ref)},"route":{json.dumps(op_type)},"b64":"'
    return [words.encode(), b64encode(body), b'"}\n']


def resolve(ref: str, result: bytes) -> list[bytes]:
    """What a run asked for at a call."""
    return [f'{{"t":"RESOLVE","rid":{json.dumps(ref)},"status":"good","b64":"'.encode(), b64encode(result), b'"}\n']


def stub(ref: str) -> list[bytes]:
    """The run goes on without its call."""
    return [f'{{"t":"STUB","rid":{json.dumps(ref)}}}\n'.encode()]


def top(mark: int) -> list[bytes]:
    return [b'{"t":"TOP","mark":"%d"}\n' % mark]


def notice(line: bytes) -> dict:
    """A notice as it came; ValueError for a line that is none."""
    told = json.loads(line.decode())
    if not isinstance(told, dict):
        raise ValueError("no object")
    return told


def result(told: dict, wanted: bool) -> bytes:
    """ValueError where there is none though one is wanted, and for one that is no base64 to the last character: decoded as far
    as it goes, a spoilt result would be served.

    >>> result({"b64": "aGk="}, True), result({}, False)
    (b'hi', b'')
    """
    encoded = told["b64"] if wanted else told.get("b64") or ""
    return b64decode(text(encoded), validate=True)


def text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("no text")
    return value


def whole(value: object) -> int:
    """A number of the link, as one or as its digits; 0 or more.

    >>> whole(7), whole("12")
    (7, 12)
    """
    if isinstance(value, bool) or not isinstance(value, int | str) or isinstance(value, str) and not value.isdecimal():
        raise ValueError("no whole number")
    if int(value) < 0:
        raise ValueError("below zero")
    return int(value)


def figure(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < float("inf"):
        raise ValueError("no figure")
    return float(value)


def readings(values: object) -> list[float]:
    if not isinstance(values, list):
        raise ValueError("no list")
    return [figure(value) for value in values]
