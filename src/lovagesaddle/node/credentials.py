"""Who sent a request: read from its headers, and told to backend servers.

The key of a client account ends here. What goes on is its digest, to the
table, and the account's name, to the backend server.
"""

from collections.abc import Mapping
import hashlib

from lovagesaddle.core.routing import account_keys
from lovagesaddle.core.routing import header_names
from lovagesaddle.core.routing import table as table_lib
from lovagesaddle.http import headers as headers_lib
from lovagesaddle.node import local_servers

BEARER = "bearer "
DIGEST_PREFIX = "sha256:"


def read_credential(
    received: Mapping[str, str], servers: local_servers.LocalServers
) -> table_lib.Credential:
    """Returns the sender of a request, as its headers state it.

    Args:
      received: Lower-case names to values.
      servers: Local servers, with the tokens of their services.
    """
    header = received.get(headers_lib.AUTHORIZATION, "")
    if header[: len(BEARER)].lower() != BEARER:
        return table_lib.Credential(
            account_key=account_keys.parse_header(header)
        )
    other = account_keys.AccountKey(form=account_keys.KeyForm.OTHER_SCHEME)
    token = header[len(BEARER) :].strip()
    service = servers.find_service_by_token(token)
    if service:
        return table_lib.Credential(service=service, account_key=other)
    digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
    return table_lib.Credential(
        token_digest=DIGEST_PREFIX + digest, account_key=other
    )


def make_headers(
    received: Mapping[str, str],
    names: header_names.HeaderNames,
    *,
    caller_service: str,
    has_accounts: bool,
) -> headers_lib.Headers:
    """Returns the headers of a request for a backend server.

    The header with the client account is left to the owner, which gets the
    account's name from the entry in any case.

    Args:
      received: Lower-case names to values, as the caller sent them.
      names: Names of the headers that only nodes set.
      caller_service: Service of this VM; empty if it is unknown.
      has_accounts: Whether there are client accounts.
    """
    own: headers_lib.Headers = ()
    if names.caller_service and caller_service:
        own = ((names.caller_service, caller_service),)
    return own + headers_lib.filter_request(
        received, names, has_accounts=has_accounts
    )
