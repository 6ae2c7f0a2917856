"""HTTP client of the command line, with a timeout and with error messages that name the remedy."""

from __future__ import annotations

import json
import urllib.error
import urllib.request
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

TIMEOUT_S = 3.0
MAX_REDIRECTS = 3


@dataclass(frozen=True)
class HttpResult:
    """A complete response."""

    status: int
    body: bytes

    def value(self) -> Any:
        """Return the parsed JSON body, None if it is empty."""
        return json.loads(self.body or b"null")


class _NoRedirect(urllib.request.HTTPRedirectHandler):
    """Leaves redirects to `call`, because urllib does not repeat a PUT."""

    def redirect_request(self, *_: Any) -> None:
        return None


def call(
    address: str, method: str, path: str, body: bytes | None = None, headers: dict[str, str] | None = None
) -> Result[HttpResult, str]:
    """Send one request to "HOST:PORT" and follow at most `MAX_REDIRECTS` redirects (307).

    Returns:
        The response, whatever its status, or an error message that names the remedy.
    """
    url = f"http://{address}{path}"
    opener = urllib.request.build_opener(_NoRedirect)
    for _ in range(MAX_REDIRECTS):
        request = urllib.request.Request(url, data=body, method=method, headers=headers or {})
        try:
            with opener.open(request, timeout=TIMEOUT_S) as response:
                return Ok(HttpResult(response.status, response.read()))
        except urllib.error.HTTPError as error:
            if error.code != HTTPStatus.TEMPORARY_REDIRECT:
                return Ok(HttpResult(error.code, error.read()))
            url = error.headers["Location"]
        except OSError as error:
            return Err(f"{url}: {error}; name the address of a running instance, HOST:PORT")
    return Err(f"{address}: too many redirects; retry when the control plane is stable")
