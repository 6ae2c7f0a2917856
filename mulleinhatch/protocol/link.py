"""Lines of the interpreter's link: commands out, notices in."""
from __future__ import annotations

import json
from base64 import b64decode, b64encode

from mulleinhatch.interface import Ending

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


def top(mark: int) -> list[bytes]:
    return [b'{"t":"TOP","mark":"%d"}\n' % mark]


def notice(line: bytes) -> dict:
    """A notice as it came; ValueError for a line that is none."""
    told = json.loads(line.decode())
    if not isinstance(told, dict):
        raise ValueError("no object")
    return told


def result(told: dict) -> bytes:
    return b64decode(told.get("b64") or "")
