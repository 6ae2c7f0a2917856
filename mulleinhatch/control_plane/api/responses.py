"""Responses that more than one interface of the control plane sends."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

from mulleinhatch.networking.http_server import HttpServerResponse

NO_MAJORITY_MESSAGE = "this machine is not in touch with the core; call another one"
RETRY_AFTER_S = "0.2"


def error_response(status: int, message: str, headers: Mapping[str, str] | None = None) -> HttpServerResponse:
    """Return a response whose JSON body is `{"error": message}`."""
    return HttpServerResponse.of_json(status, {"error": message}, headers)


def unavailable_response(message: str) -> HttpServerResponse:
    """Return a 503 that asks the client to send the same request again after a short delay."""
    return error_response(HTTPStatus.SERVICE_UNAVAILABLE, message, {"Retry-After": RETRY_AFTER_S})


def no_majority_response() -> HttpServerResponse:
    """Return the 503 of a process that cannot confirm its view with a majority of voters."""
    return unavailable_response(NO_MAJORITY_MESSAGE)


def empty_response() -> HttpServerResponse:
    """Return a 200 with an empty JSON object, which acknowledges the request."""
    return HttpServerResponse.of_json(HTTPStatus.OK, {})
