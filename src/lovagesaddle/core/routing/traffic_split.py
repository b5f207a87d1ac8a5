"""Shares the requests of a route among services by weight."""

from lovagesaddle.core.model import services


class WeightedRoundRobin:
    """A smooth weighted order: shares hold over any short run of requests.

    Each service gains its weight with every request; the one with most is
    chosen and pays the sum of all weights.

    Args:
      parts: The services and their weights; at least one weight is above 0.
    """

    def __init__(self, parts: tuple[services.SplitPart, ...]) -> None:
        self._parts = tuple(part for part in parts if part.weight > 0)
        self._total = sum(part.weight for part in self._parts)
        self._gained = [0] * len(self._parts)

    def choose(self) -> str:
        """Returns the service that takes the next request."""
        for number, part in enumerate(self._parts):
            self._gained[number] += part.weight
        chosen = max(range(len(self._parts)), key=self._gained.__getitem__)
        self._gained[chosen] -= self._total
        return self._parts[chosen].service


class TrafficSplitter:
    """The orders of all routes; one is kept while its shares stay the same."""

    def __init__(self) -> None:
        self._kept: dict[tuple[str, str], _Kept] = {}

    def choose(self, service: str, route: services.Route) -> str:
        """Returns the service that takes the next request of a route.

        Args:
          service: The route's own, which takes all when there is no split.
          route: The route.
        """
        if not route.split:
            return service
        kept = self._kept.get((service, route.name))
        if kept is None or kept.parts != route.split:
            kept = _Kept(route.split)
            self._kept[service, route.name] = kept
        return kept.split.choose()


class _Kept:
    """An order and the shares that it was made for."""

    def __init__(self, parts: tuple[services.SplitPart, ...]) -> None:
        self.parts = parts
        self.split = WeightedRoundRobin(parts)
