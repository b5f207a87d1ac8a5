"""Messages about quotas, on `Channel.QUOTAS`.

Each may be lost, duplicated or delayed. They are encoded as arrays, since they
are small and many: the names of the fields would make up most of them.
"""

import enum

import msgspec

from lovagesaddle.core import codec


class HolderState(enum.IntEnum):
    """What a holder says of its part of a quota.

    GRANTED: it granted what was needed.
    EMPTY: the part is used up for the moment.
    NOT_READY: it does not hold the part, or can't prove that it still does.
    """

    GRANTED = 0
    EMPTY = 1
    NOT_READY = 2


class Ask(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Asks a holder for tokens, and reports on those granted before.

    Attributes:
      account: Name of the client account.
      stamp: Time of the ask by the entry's clock, in milliseconds; it grows
        with every ask of an entry on an account.
      held: Tokens of this holder that the entry keeps.
      returned: Unused tokens that the entry gives back.
      need: Tokens for which requests wait.
      want: Tokens that the entry expects to use, `need` included; 0 if only
        tokens are given back, which is not answered.
    """

    account: str
    stamp: int
    held: int
    returned: int = 0
    need: int = 0
    want: int = 0

    @property
    def is_short(self) -> bool:
        """Whether only tokens for waiting requests are asked for.

        They are used at once, so their lease is short, and what an account
        uses here and there fills its bucket no longer than necessary.
        """
        return self.want == self.need and not self.held


class Grant(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Answers an Ask.

    Attributes:
      account: Account of the Ask.
      stamp: Stamp of the Ask; the tokens may be used for one lease from the
        time of the Ask, which is a short one if `Ask.is_short`.
      total: Tokens of the entry now, the held ones included; without meaning
        if the holder is not ready.
      state: What the holder says of its part.
      retry_ms: Time after which to ask again, in milliseconds. If granted,
        it concerns asks ahead of need: the part has little left.
    """

    account: str
    stamp: int
    total: int
    state: HolderState = HolderState.GRANTED
    retry_ms: int = 0


QuotaMessage = Ask | Grant

QUOTA_MESSAGES: codec.Registry[QuotaMessage] = codec.Registry(
    name="quota message", kinds={1: Ask, 2: Grant}
)
