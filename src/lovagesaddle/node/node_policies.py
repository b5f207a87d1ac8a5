"""Policies of the owner and the entry of a node, by its settings."""

from lovagesaddle.core.routing import call as call_lib
from lovagesaddle.core.routing import retries
from lovagesaddle.node import owned_server
from lovagesaddle.node import routing as routing_lib
from lovagesaddle.settings import schema


def make_owner_options(
    settings: schema.NodeSettings,
) -> owned_server.OwnerOptions:
    """Returns the policies of the owner that the settings ask for."""
    return owned_server.OwnerOptions(
        assumes_usual_speed=settings.placement == schema.EXPECTED_TIME
    )


def make_routing_options(
    settings: schema.NodeSettings,
) -> routing_lib.RoutingOptions:
    """Returns the policies of the entry that the settings ask for."""

    def make_budget() -> retries.RetryPolicy:
        return retries.RetryBudget(
            cap=routing_lib.MAX_MOVES,
            share=settings.retry_share,
            reserve=settings.retry_reserve,
        )

    return routing_lib.RoutingOptions(
        make_retry_policy=make_budget,
        call=call_lib.CallOptions(moves_need_room=True),
    )
