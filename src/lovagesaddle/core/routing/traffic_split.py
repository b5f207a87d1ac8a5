"""Splits the requests of a route among services by weight."""

from lovagesaddle.core.model import services


class WeightedRoundRobin:
    """Smooth weighted round robin: shares hold over any short run of requests.

    With each request, every service gains its weight as credit; the one with
    the most credit is chosen and loses the sum of all weights.

    Args:
      parts: Services and their weights; at least one weight is above 0.
    """

    def __init__(self, parts: tuple[services.SplitPart, ...]) -> None:
        self._parts = tuple(part for part in parts if part.weight > 0)
        self._total = sum(part.weight for part in self._parts)
        self._credits = [0] * len(self._parts)

    def choose(self) -> str:
        """Returns the service for the next request."""
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
        chosen = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._parts[chosen].service


class TrafficSplitter:
    """Splits the requests of all routes; restarts a route's changed split."""

    def __init__(self) -> None:
        self._route_splits: dict[tuple[str, str], _RouteSplit] = {}

    def choose(self, service: str, route: services.Route) -> str:
        """Returns the service for the next request of a route.

        Args:
          service: Service of the route, which gets all without a split.
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
    """Round-robin order of a route and the parts that it was made from."""

    def __init__(self, parts: tuple[services.SplitPart, ...]) -> None:
        self.parts = parts
        self.order = WeightedRoundRobin(parts)
