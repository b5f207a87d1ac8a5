"""Converts the tenants of a document into client accounts.

No error names a key, since errors are logged and returned.
"""

from typing import Annotated

import msgspec

from lovagesaddle.core.model import services
from lovagesaddle.core.routing import account_keys

MAX_NUMBER = 2**31 - 1
# A name is sent in a header.
Name = Annotated[
    str, msgspec.Meta(pattern=r"^[!-~]([ -~]*[!-~])?\Z", max_length=256)
]
Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class Tenant(msgspec.Struct, frozen=True, rename="pascal"):
    """A tenant as the document has it."""

    name: Name
    api_keys: tuple[str, ...]
    priority: Natural = 0
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0


def convert_tenants(
    tenants: tuple[Tenant, ...],
) -> tuple[services.ClientAccount, ...]:
    """Returns the client accounts, sorted by name.

    A key that a tenant lists twice counts once: it still has one holder.

    Raises:
      ValueError: Two tenants share a name or a key, or no request can carry a
        key; the message names the place.
    """
    positions: dict[str, int] = {}
    holders: dict[str, int] = {}
    accounts = []
    for position, tenant in enumerate(tenants):
        if positions.setdefault(tenant.name, position) != position:
            raise ValueError(
                f"tenant is not unique: {tenant.name}"
                f" - at `$.Tenants[{position}].Name`"
            )
        accounts.append(
            services.ClientAccount(
                name=tenant.name,
                digests=_compute_digests(tenant, position, tenants, holders),
                priority=tenant.priority,
                rate_per_s=tenant.rate_per_s,
                burst=tenant.burst,
            )
        )
    return tuple(sorted(accounts, key=lambda account: account.name))


def _compute_digests(
    tenant: Tenant,
    position: int,
    tenants: tuple[Tenant, ...],
    holders: dict[str, int],
) -> tuple[str, ...]:
    """Returns the sorted digests of a tenant's keys, and records the holder."""
    for index, key in enumerate(tenant.api_keys):
        place = f" - at `$.Tenants[{position}].ApiKeys[{index}]`"
        if not account_keys.is_valid_key(key):
            raise ValueError(
                f"key of tenant {tenant.name} is not 1 to "
                f"{account_keys.MAX_KEY_CHARACTERS} visible ASCII characters"
                + place
            )
        holder = holders.setdefault(account_keys.compute_digest(key), position)
        if holder != position:
            raise ValueError(
                f"tenants {tenants[holder].name} and {tenant.name}"
                f" share a key{place}"
            )
    return tuple(
        sorted({account_keys.compute_digest(key) for key in tenant.api_keys})
    )
