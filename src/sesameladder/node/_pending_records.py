"""Counts the pending jobs of a pool in its records, while it has no summary."""

import json
import re
from collections import Counter

from sesameladder.node._client_store import ClientStore
from sesameladder.node._keys import progress_prefix, submission_key
from sesameladder.service_calls import Caller

QUEUE_FIELD = re.compile(rb'\{"queue":("(?:[^"\\]|\\.)*")')


def count_pending_records(
    store: ClientStore, pool: str, caller: Caller
) -> Counter[str]:
    """Return the jobs without progress by queue, read page by page.

    Raises ``PlatformCallError``.
    """
    prefix = progress_prefix(pool)
    started_jobs = {
        item.key.removeprefix(prefix)
        for page in store.read_pages(prefix, caller)
        for item in page.items
    }
    prefix = submission_key(pool, "")
    counts: Counter[str] = Counter()
    for page in store.read_pages(prefix, caller):
        for item in page.items:
            field = QUEUE_FIELD.match(item.value)
            if field and item.key.removeprefix(prefix) not in started_jobs:
                counts[json.loads(field[1])] += 1
    return counts
