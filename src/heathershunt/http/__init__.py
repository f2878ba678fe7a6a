"""HTTP/1.1 server and client on h11."""

from heathershunt.http.addresses import Address
from heathershunt.http.client import ClientResponse, HttpClient, TransportError
from heathershunt.http.correlation import correlated
from heathershunt.http.cuts import AnswerCut, AnswerError, CutCause
from heathershunt.http.messages import (
    Request,
    Response,
    ResponseStream,
    StreamResponse,
    json_response,
    problem_response,
)
from heathershunt.http.requests import HttpLimits
from heathershunt.http.server import HttpServer

__all__ = [
    "Address",
    "AnswerCut",
    "AnswerError",
    "ClientResponse",
    "CutCause",
    "HttpClient",
    "HttpLimits",
    "HttpServer",
    "Request",
    "Response",
    "ResponseStream",
    "StreamResponse",
    "TransportError",
    "correlated",
    "json_response",
    "problem_response",
]
