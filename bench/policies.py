"""Node policies that measurements compare."""

import dataclasses

from lovagesaddle.core.routing import concurrency_limits
from lovagesaddle.core.routing import pick_policies
from lovagesaddle.core.routing import queues
from lovagesaddle.core.routing import retries
from lovagesaddle.node import owned_server
from lovagesaddle.node import routing as routing_lib

CHOSEN = "chosen"
RETRY_CAP = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Options of a node.

    Attributes:
      routing: Options of its entry part.
      owner: Options of its owner part.
    """

    routing: routing_lib.RoutingOptions = dataclasses.field(
        default_factory=routing_lib.RoutingOptions
    )
    owner: owned_server.OwnerOptions = dataclasses.field(
        default_factory=owned_server.OwnerOptions
    )


POLICIES = {
    CHOSEN: Policy(),
    "pick-random": Policy(
        routing=routing_lib.RoutingOptions(policy=pick_policies.RandomPick())
    ),
    "pick-least": Policy(
        routing=routing_lib.RoutingOptions(policy=pick_policies.LeastCostPick())
    ),
    "any-domain": Policy(
        routing=routing_lib.RoutingOptions(prefer_own_domain=False)
    ),
    "no-limit": Policy(
        owner=owned_server.OwnerOptions(
            make_limit=lambda _: concurrency_limits.NoLimit()
        )
    ),
    "adaptive-limit": Policy(
        owner=owned_server.OwnerOptions(
            make_limit=concurrency_limits.AdaptiveLimit
        )
    ),
    "fifo": Policy(
        owner=owned_server.OwnerOptions(order=queues.ArrivalOrder())
    ),
    "retry-unlimited": Policy(
        routing=routing_lib.RoutingOptions(
            make_retry_policy=retries.UnlimitedRetries
        )
    ),
    "retry-capped": Policy(
        routing=routing_lib.RoutingOptions(
            make_retry_policy=lambda: retries.CappedRetries(RETRY_CAP)
        )
    ),
}
