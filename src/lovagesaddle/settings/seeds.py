"""Turns seeds into the replicas that a process connects to at first."""

import dataclasses
from typing import TypeVar

from lovagesaddle.settings import schema

T = TypeVar("T")


def add_seeds(settings: T) -> T:
    """Returns the settings with a replica for each seed; others unchanged."""
    if isinstance(settings, schema.ControlSettings):
        made = make_replicas(settings.seeds, settings.address)
        return dataclasses.replace(
            settings, replicas=_merge(settings.replicas, made)
        )
    if isinstance(settings, schema.NodeSettings):
        made = make_replicas(settings.seeds, settings.control_address)
        return dataclasses.replace(
            settings, replicas=_merge(settings.replicas, made)
        )
    return settings


def _merge(
    named: tuple[schema.ReplicaAddress, ...],
    seeds: tuple[schema.ReplicaAddress, ...],
) -> tuple[schema.ReplicaAddress, ...]:
    known = {replica.replica_id for replica in named}
    return named + tuple(s for s in seeds if s.replica_id not in known)


def make_replicas(
    seeds: tuple[str, ...], own_address: str
) -> tuple[schema.ReplicaAddress, ...]:
    """Returns the replicas of some seeds, each VM once.

    Args:
      seeds: `ip:port` of processes on their VMs.
      own_address: `tcp://ip:port` of this process, whose port they share.
    """
    port = own_address.rpartition(":")[2]
    ips = dict.fromkeys(seed.rpartition(":")[0] for seed in seeds)
    return tuple(
        schema.ReplicaAddress(replica_id=ip, address=f"tcp://{ip}:{port}")
        for ip in ips
    )
