"""Lines of the link to the interpreter: commands out, notices in. Each line is one JSON object.

The message types in capitals are defined by the interpreter's protocol.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode

from mulleinhatch.admission.interface import Ending

ENDINGS = {"good": Ending.OK, "bad": Ending.ERROR, "cut": Ending.STOPPED, "gone": Ending.MOOT}


def write_connect(last_notice: int) -> list[bytes]:
    """Return the greeting, with the number of the last notice that was received."""
    return [b'{"t":"CONNECT","no":%d}\n' % last_notice]


def write_apply(ref: str, request_type: str, body: bytes) -> list[bytes]:
    """Return the command that runs a request.

    >>> b"".join(write_apply("9b", "read", b"hi"))
    b'{"t":"APPLY","rid":"9b","route":"read","b64":"aGk="}\\n'
    """
    start = f'{{"t":"APPLY","rid":{json.dumps(ref)},"route":{json.dumps(request_type)},"b64":"'
    return [start.encode(), b64encode(body), b'"}\n']


def write_resolve(ref: str, result: bytes) -> list[bytes]:
    """Return the command that passes the result of a dependency call to its run."""
    return [f'{{"t":"RESOLVE","rid":{json.dumps(ref)},"status":"good","b64":"'.encode(), b64encode(result), b'"}\n']


def write_skip_call(ref: str) -> list[bytes]:
    """Return the command that continues a run without its dependency call."""
    return [f'{{"t":"STUB","rid":{json.dumps(ref)}}}\n'.encode()]


def write_gauges_request(number: int) -> list[bytes]:
    """Return the command that requests the gauges; the notice with the response carries the same number."""
    return [b'{"t":"TOP","mark":"%d"}\n' % number]


def parse_notice(line: bytes) -> dict:
    """Parse a notice.

    Raises:
        ValueError: The line is not a JSON object.
    """
    fields = json.loads(line.decode())
    if not isinstance(fields, dict):
        raise ValueError("no object")
    return fields


def parse_result(fields: dict, is_required: bool) -> bytes:
    """Return the result that a notice carries; empty if there is none.

    Raises:
        ValueError: A required result is missing, or it is not valid base64 throughout: a lenient decoder would serve a
            damaged result.

    >>> parse_result({"b64": "aGk="}, True), parse_result({}, False)
    (b'hi', b'')
    """
    encoded = fields["b64"] if is_required else fields.get("b64") or ""
    return b64decode(parse_text(encoded), validate=True)


def parse_text(value: object) -> str:
    """Return a value that must be text.

    Raises:
        ValueError: It is not text.
    """
    if not isinstance(value, str):
        raise ValueError("no text")
    return value


def parse_non_negative_int(value: object) -> int:
    """Return a whole number that is sent as a number or as a string of digits.

    Raises:
        ValueError: It is not a whole number, or below zero.

    >>> parse_non_negative_int(7), parse_non_negative_int("12")
    (7, 12)
    """
    if isinstance(value, bool) or not isinstance(value, int | str) or isinstance(value, str) and not value.isdecimal():
        raise ValueError("no whole number")
    if int(value) < 0:
        raise ValueError("below zero")
    return int(value)


def parse_non_negative_float(value: object) -> float:
    """Return a finite number of 0 or more.

    Raises:
        ValueError: It is not such a number.
    """
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0.0 <= value < float("inf"):
        raise ValueError("no figure")
    return float(value)


def parse_gauges(values: object) -> list[float]:
    """Return a list of gauges.

    Raises:
        ValueError: It is not a list, or one of them is not a finite number of 0 or more.
    """
    if not isinstance(values, list):
        raise ValueError("no list")
    return [parse_non_negative_float(value) for value in values]
