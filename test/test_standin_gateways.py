"""A fleet of gateways as processes: killed, stopped, gray, audited."""

import asyncio

from standin import gateways


def test_promises_are_kept_through_a_kill_a_stop_and_a_gray_upstream(
    tmp_path,
):
    """Symptom: a payout runs twice, or runs after its caller was told no.
    Sequence: a node is killed, another is stopped in the planned way, and an
    upstream fails nine of ten requests, all under load.
    Cause: none; what callers were told is held against what upstreams ran.
    """
    _play, broken = asyncio.run(gateways.play(tmp_path, 1))
    assert broken == []
