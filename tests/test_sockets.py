"""Tests of the choice of free ports."""

import random
from unittest import mock

from lovagesaddle.http import sockets
from tests import fixtures


def test_two_users_get_different_ports_before_either_listens() -> None:
    """Two replicas of one cluster were given the same address."""
    port = sockets.find_free_ports(1)[0]
    numbers = iter((port, port, port + 1, *range(port + 2, port + 50)))
    with mock.patch.object(
        random, "randint", side_effect=lambda _first, _last: next(numbers)
    ):
        assert port not in sockets.find_free_ports(1)


load_tests = fixtures.collect(__name__)
