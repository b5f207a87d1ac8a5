"""Measures claims of idempotency keys: `python -m bench.claim_cost`.

Runs one claim client and three claim holders in this process, with every
message encoded and decoded. Prints bytes and processor time for each request
with a key, and memory for each stored claim.
"""

import random
import sys
import time
import tracemalloc

from lovagesaddle.core.model import snapshots
from lovagesaddle.core.routing import claim_client
from lovagesaddle.core.routing import claim_events
from lovagesaddle.core.routing import claim_holder
from lovagesaddle.core.routing import claim_keys
from lovagesaddle.core.routing import claim_messages as messages

REQUESTS = 5000
ANSWER_BYTES = 512
TIMEOUT_S = 2.0
US_PER_S = 1_000_000
ENTRY = "entry"
HOLDERS = ("h0", "h1", "h2")


class ClaimExchange:
    """Runs claims at three holders and counts the messages.

    Attributes:
      count: Messages so far.
      size: Encoded bytes of these messages.
    """

    def __init__(self) -> None:
        self.count = 0
        self.size = 0
        self.shard = snapshots.Shard(
            number=0,
            epoch=1,
            holders=tuple(
                snapshots.Holder(node_id=name, incarnation=1)
                for name in HOLDERS
            ),
            previous=(),
        )
        self.holders = {
            name: claim_holder.ClaimHolder(node_id=name) for name in HOLDERS
        }
        installed = claim_holder.Installed(shards=(self.shard,), incarnation=1)
        for holder in self.holders.values():
            holder.step(installed, 0.0)

    def run(self, number: int) -> None:
        """Claims the key `number` and stores an answer for it."""
        client = claim_client.ClaimClient(
            options=claim_client.ClaimOptions(
                claim_id=claim_keys.compute_claim_id(
                    service="desk", client="caller", key=str(number)
                ),
                body_digest=bytes(16),
                token=f"{number:032x}",
                deadline=TIMEOUT_S,
                shard=self.shard,
            ),
            source=random.Random(number),
        )
        self._step(client, claim_events.Started())
        answer = messages.StoredAnswer(status=201, body=bytes(ANSWER_BYTES))
        self._step(client, claim_events.Ended(outcome=None, answer=answer))

    def _step(
        self, client: claim_client.ClaimClient, event: claim_events.Event
    ) -> None:
        for action in client.step(event, 0.0):
            if isinstance(action, claim_events.Send):
                self._deliver(client, action)

    def _deliver(
        self, client: claim_client.ClaimClient, sent: claim_events.Send
    ) -> None:
        received = claim_holder.Received(
            sender_id=ENTRY, message=self._transmit(sent.message)
        )
        for answer in self.holders[sent.node_id].step(received, 0.0):
            reply = claim_events.Received(
                sender_id=sent.node_id, message=self._transmit(answer.message)
            )
            self._step(client, reply)

    def _transmit(
        self, message: messages.ClaimMessage
    ) -> messages.ClaimMessage:
        data = messages.CLAIM_MESSAGES.encode(message)
        self.count += 1
        self.size += len(data)
        return messages.CLAIM_MESSAGES.decode(data, peer=ENTRY)


def main() -> int:
    """Prints one figure on each line."""
    exchange = ClaimExchange()
    started = time.process_time()
    for number in range(REQUESTS):
        exchange.run(number)
    cpu_s = time.process_time() - started
    print(f"messages for each request: {exchange.count / REQUESTS:.1f}")
    print(f"bytes for each request: {exchange.size / REQUESTS:.0f}")
    print(f"processor us, all parties: {cpu_s / REQUESTS * US_PER_S:.0f}")
    tracemalloc.start()
    traced_exchange = ClaimExchange()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(REQUESTS):
        traced_exchange.run(number)
    after, _ = tracemalloc.get_traced_memory()
    bytes_per_claim = (after - before) / REQUESTS / len(HOLDERS)
    print(f"bytes of memory for each claim at a holder: {bytes_per_claim:.0f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
