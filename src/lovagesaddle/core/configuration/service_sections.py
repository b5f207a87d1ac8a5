"""Defines the keys of service files, with their bounds and defaults."""

import dataclasses
from typing import Annotated

import msgspec

from lovagesaddle.core.configuration import units
from lovagesaddle.core.model import services

MAX_RETRIES = 10
MAX_TIMEOUT_S = 3600.0
MAX_RANK = 99
ANY = "any"
MAX_BODY_BYTES = 1024**3
NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
HOST_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$"

_Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
_Host = Annotated[str, msgspec.Meta(pattern=HOST_PATTERN)]
_Words = Annotated[
    tuple[str, ...], msgspec.Meta(extra={"unit": units.Unit.WORDS})
]
_Names = Annotated[
    tuple[_Name, ...], msgspec.Meta(extra={"unit": units.Unit.WORDS})
]
_Switch = Annotated[bool, msgspec.Meta(extra={"unit": units.Unit.SWITCH})]
_Timeout = Annotated[
    float,
    msgspec.Meta(gt=0, le=MAX_TIMEOUT_S, extra={"unit": units.Unit.DURATION}),
]
_Rank = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_RANK, extra={"unit": units.Unit.RANK})
]
_Shares = Annotated[
    tuple[services.SplitPart, ...],
    msgspec.Meta(extra={"unit": units.Unit.SHARES}),
]
_BodySize = Annotated[
    int,
    msgspec.Meta(ge=0, le=MAX_BODY_BYTES, extra={"unit": units.Unit.SIZE}),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSection:
    """Keys of [service]."""

    name: _Name
    revision: Annotated[int, msgspec.Meta(ge=0)]
    depends_on: _Names = ()
    health_path: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerSection:
    """Keys of [caller NAME]."""

    name: _Name
    digests: _Words


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteSection:
    """Keys of [route NAME], with the defaults of optional keys.

    The host is required. Its default only makes it possible to check the
    other keys when it is missing.
    """

    name: _Name
    host: _Host = ""
    path: str = "/"
    methods: _Words = ("GET",)
    timeout_s: _Timeout = 5.0
    retries: Annotated[int, msgspec.Meta(ge=0, le=MAX_RETRIES)] = 1
    priority: _Rank = services.Priority.NORMAL
    idempotent: _Switch = False
    callers: _Names = ()
    services: _Names = ()
    max_body_bytes: _BodySize = 1024**2
    target_latency_s: _Timeout | None = None
    split: _Shares = ()
    needs_account: _Switch = False
