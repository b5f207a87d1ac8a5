"""Conversion of seeds to the replicas that a process first connects to."""

import dataclasses
from typing import TypeVar

from lovagesaddle.settings import schema

T = TypeVar("T")


def add_seeds(settings: T) -> T:
    """Returns settings with a replica added for each of their seeds.

    Settings of the command line are returned unchanged.
    """
    if isinstance(settings, schema.ControlSettings):
        seed_replicas = make_replicas(settings.seeds, settings.address)
        return dataclasses.replace(
            settings, replicas=_merge(settings.replicas, seed_replicas)
        )
    if isinstance(settings, schema.NodeSettings):
        seed_replicas = make_replicas(settings.seeds, settings.control_address)
        return dataclasses.replace(
            settings, replicas=_merge(settings.replicas, seed_replicas)
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
    """Returns a replica for each distinct IP of the seeds.

    Args:
      seeds: `ip:port` of processes on the replicas' VMs.
      own_address: `tcp://ip:port` of this process; the replicas use its port.
    """
    port = own_address.rpartition(":")[2]
    ips = dict.fromkeys(seed.rpartition(":")[0] for seed in seeds)
    return tuple(
        schema.ReplicaAddress(replica_id=ip, address=f"tcp://{ip}:{port}")
        for ip in ips
    )
