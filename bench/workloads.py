"""Meshes and call mixes of two users, to measure on one machine."""

import dataclasses
import hashlib

from bench import cluster
from bench import load
from lovagesaddle.core.model import services

TOKEN = "bench-token"
DOMAINS = ("domain-a", "domain-b", "domain-c")
SMALL_BODY_BYTES = 200
UPLOAD_BYTES = 100_000
MAX_BODY_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """The mesh and the calls of one user.

    Attributes:
      name: Name of the user.
      services: Services to publish.
      upstreams: VMs to start.
      kinds: Mix of calls.
    """

    name: str
    services: tuple[services.Service, ...]
    upstreams: tuple[cluster.Upstream, ...]
    kinds: tuple[load.CallKind, ...]

    def scale_runs(self, run_ms: float) -> "Workload":
        """Returns the workload with another run time, in milliseconds."""
        return dataclasses.replace(
            self,
            upstreams=tuple(
                dataclasses.replace(upstream, run_ms=run_ms)
                for upstream in self.upstreams
            ),
        )


def make_bentancor(run_ms: float, timeout_s: float = 2.0) -> Workload:
    """Returns order desk on 7 VMs and artwork on 3, with 20 slots each.

    Args:
      run_ms: Time of a run, in milliseconds.
      timeout_s: Timeout of the routes, in seconds.
    """
    return _make_workload(
        "bentancor",
        ("orderdesk", "/proofs", "/confirmations", 7, 0.7),
        ("artwork", "/layouts", "/uploads", 3, 0.3),
        slots=20,
        connections=100,
        run_ms=run_ms,
        timeout_s=timeout_s,
    )


def make_bajio(run_ms: float, timeout_s: float = 2.0) -> Workload:
    """Returns booking on 10 VMs and batch on 3, with 10 slots each.

    Args:
      run_ms: Time of a run, in milliseconds.
      timeout_s: Timeout of the routes, in seconds.
    """
    return _make_workload(
        "bajio",
        ("booking", "/calendars", "/deposits", 10, 0.75),
        ("batch", "/readiness", "/manifests", 3, 0.25),
        slots=10,
        connections=130,
        run_ms=run_ms,
        timeout_s=timeout_s,
    )


_ServiceShape = tuple[str, str, str, int, float]


def _make_workload(
    name: str,
    *shapes: _ServiceShape,
    slots: int,
    connections: int,
    run_ms: float,
    timeout_s: float,
) -> Workload:
    upstreams: list[cluster.Upstream] = []
    kinds: list[load.CallKind] = []
    for service, reads, writes, count, share in shapes:
        upstreams += [
            cluster.Upstream(
                name=f"{service}-{number}",
                service=service,
                failure_domain=DOMAINS[number % len(DOMAINS)],
                slots=slots,
                connections=connections,
                run_ms=run_ms,
            )
            for number in range(count)
        ]
        kinds += [
            _make_kind(service, "GET", reads, share / 2),
            _make_kind(service, "POST", writes, share / 2),
        ]
    return Workload(
        name=name,
        services=tuple(
            make_service(shape[0], shape[1], shape[2], timeout_s)
            for shape in sorted(shapes)
        ),
        upstreams=tuple(upstreams),
        kinds=tuple(kinds),
    )


def _make_kind(
    service: str, method: str, path: str, share: float
) -> load.CallKind:
    body_bytes = SMALL_BODY_BYTES if method == "POST" else 0
    if path in ("/uploads", "/manifests"):
        body_bytes = UPLOAD_BYTES
    return load.CallKind(
        name=path,
        method=method,
        path=path,
        host=f"{service}.example",
        token=TOKEN,
        idempotent=method == "GET",
        share=share,
        body_bytes=body_bytes,
    )


def make_service(
    name: str, reads: str, writes: str, timeout_s: float, revision: int = 1
) -> services.Service:
    """Returns a service with an urgent, idempotent and a normal route.

    Args:
      name: Name of the service, and of its host below `.example`.
      reads: Path prefix of the idempotent GET route.
      writes: Path prefix of the POST route.
      timeout_s: Timeout of both routes, in seconds.
      revision: Revision of the service.
    """
    digest = "sha256:" + hashlib.sha256(TOKEN.encode()).hexdigest()
    common = {
        "host": f"{name}.example",
        "timeout_s": timeout_s,
        "callers": ("bench",),
        "services": (),
        "max_body_bytes": MAX_BODY_BYTES,
    }
    return services.Service(
        name=name,
        revision=revision,
        callers=(services.Caller(name="bench", digests=(digest,)),),
        routes=(
            services.Route(
                name="reads",
                path_prefix=reads,
                methods=("GET",),
                retries=2,
                priority=services.Priority.URGENT,
                idempotent=True,
                **common,  # type: ignore[arg-type]
            ),
            services.Route(
                name="writes",
                path_prefix=writes,
                methods=("POST",),
                retries=0,
                priority=services.Priority.NORMAL,
                idempotent=False,
                **common,  # type: ignore[arg-type]
            ),
        ),
        depends_on=(),
    )
