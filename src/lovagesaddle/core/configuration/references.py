"""Checks that services only refer to services that exist."""

from lovagesaddle.core.model import services


def check_references(
    published: tuple[services.Service, ...],
) -> tuple[str, ...]:
    """Returns one sentence for each reference to a service that is absent."""
    names = {service.name for service in published}
    causes: list[str] = []
    for service in published:
        for needed in service.depends_on:
            if needed not in names:
                causes.append(
                    f'service "{needed}" does not exist but is needed by'
                    f' service "{service.name}"'
                )
        for route in service.routes:
            causes.extend(
                f'service "{client}" does not exist but may use route'
                f' "{route.name}" of service "{service.name}"'
                for client in route.services
                if client not in names
            )
            causes.extend(
                f'service "{part.service}" does not exist but takes a share of'
                f' route "{route.name}" of service "{service.name}"'
                for part in route.split
                if part.service not in names
            )
    return tuple(causes)
