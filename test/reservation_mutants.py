"""Mutants of the reservations: each function removes one protection.

The tests show that every protection is needed: without it a key is granted
twice.
"""

from carawaystair.reservations import activation
from carawaystair.reservations import partition_replica
from carawaystair.reservations import placement_table
from carawaystair.reservations import replica_server
from carawaystair.reservations import store
from carawaystair.reservations import transfer
from carawaystair.reservations import vote_round
from carawaystair.reservations import windows


def grant_with_half(patch):
    """Grant with half of the replicas."""
    patch.setattr(placement_table, 'quorum', lambda size: size // 2)


def skip_recovery(patch):
    """Let a restarted replica vote at once, without its records."""
    patch.setattr(activation.Activator, '_can_start_empty', lambda *_: True)


def ignore_restart(patch):
    """Treat a restarted replica as one that has never voted."""
    patch.setattr(activation.Activator, '_never_voted', lambda *_: True)


def skip_window_wait(patch):
    """Let a restarted replica vote before the window has passed."""
    patch.setattr(transfer.TransferServer, 'window_passed', lambda *_: True)


def fetch_from_one(patch):
    """Let a replica fetch keys from a single source."""
    patch.setattr(placement_table, 'quorum_overlap', lambda size: 1)


def skip_sealing(patch):
    """Let old members vote in the next epoch without a handover."""

    def _on_placement(self, placement):
        self.placement = placement
        self._update_sessions(placement)

    patch.setattr(
        partition_replica.PartitionReplica, 'on_placement', _on_placement
    )


def vote_in_old_epoch(patch):
    """Let a sealed replica vote in the previous epoch."""
    strict = replica_server.ReplicaServer._active_replica

    def _active_replica(self, sender, message):
        replica = self.partitions.get(message.partition)
        old = (
            replica is not None
            and message.epoch == replica.placement.epoch - 1
        )
        return replica if old else strict(self, sender, message)

    patch.setattr(
        replica_server.ReplicaServer, '_active_replica', _active_replica
    )


def count_void_votes(patch):
    """Count votes that a replica cast before it restarted."""
    patch.setattr(vote_round.VoteRound, '_discard_void_votes', lambda *_: None)


def choose_one_token(patch):
    """Let a replica that finds two tokens for a key keep one of them."""

    def _merge_records(first, second):
        settled = second if first.state == store.HELD else first
        return settled._replace(expires=max(first.expires, second.expires))

    patch.setattr(transfer, 'merge_records', _merge_records)


def halve_window(patch):
    """Forget keys after half of their window."""
    patch.setattr(windows, 'retention_s', lambda window_s: window_s / 2)


def release_any_token(patch):
    """Let a release free a key whichever token holds it."""

    def _on_release(self, sender, message):
        replica = self.partitions.get(message.partition)
        if replica is not None:
            replica.store.drop(message.key_digest)
        self._acknowledge(sender, message)

    patch.setattr(replica_server.ReplicaServer, 'on_release', _on_release)
