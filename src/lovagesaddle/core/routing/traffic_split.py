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
        self._credits = [0] * len(self._parts)

    def choose(self) -> str:
        """Returns the service that takes the next request."""
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
        chosen = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._parts[chosen].service


class TrafficSplitter:
    """The orders of all routes; one is kept while its shares stay the same."""

    def __init__(self) -> None:
        self._route_splits: dict[tuple[str, str], _RouteSplit] = {}

    def choose(self, service: str, route: services.Route) -> str:
        """Returns the service that takes the next request of a route.

        Args:
          service: The route's own, which takes all when there is no split.
          route: The route.
        """
        if not route.split:
            return service
        route_split = self._route_splits.get((service, route.name))
        if route_split is None or route_split.parts != route.split:
            route_split = _RouteSplit(route.split)
            self._route_splits[service, route.name] = route_split
        return route_split.order.choose()


class _RouteSplit:
    """An order and the shares that it was made for."""

    def __init__(self, parts: tuple[services.SplitPart, ...]) -> None:
        self.parts = parts
        self.order = WeightedRoundRobin(parts)
