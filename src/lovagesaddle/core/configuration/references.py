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
    return tuple(causes)
