"""Space on the disk: which records may be written so that the journal can always be compacted.

A compaction writes the current state to a second file while the first one exists. Both have to fit into the
disk limit, so a record is only appended if a compaction still fits after it. Once there is no room for the
copy, no compaction succeeds any more and the journal stays full for good, however little of it is live.

Messages and cordons raise the size of the state. They are admitted only if two copies of the state leave some
headroom, in which the records of the messages that were admitted before are written.
"""

from __future__ import annotations

from dataclasses import dataclass

BLOCK_BYTES = 512  # the disk limit applies to file sizes rounded up to blocks
# Shares of the limit that new messages and new cordons leave free. Close to the limit each record would need
# a compaction. Operators can still cordon endpoints when no message is accepted any more.
MESSAGE_HEADROOM_SHARE = 1 / 8
CORDON_HEADROOM_SHARE = 1 / 16


def round_up_to_blocks(size_bytes: int) -> int:
    """Return the size in bytes, rounded up to a multiple of the block size."""
    return -(-size_bytes // BLOCK_BYTES) * BLOCK_BYTES


@dataclass(frozen=True, slots=True)
class DiskBudget:
    """Limit on the files of the journal together, each rounded up to blocks.

    In all methods `live_bytes` is an upper bound of the size of a compacted file.
    """

    limit_bytes: int

    def permits_message(self, live_bytes: int) -> bool:
        """Return whether the state may grow to this size by a new message."""
        return self._fits_twice(live_bytes, MESSAGE_HEADROOM_SHARE)

    def permits_cordon(self, live_bytes: int) -> bool:
        """Return whether the state may grow to this size by a new cordon."""
        return self._fits_twice(live_bytes, CORDON_HEADROOM_SHARE)

    def permits_file(self, file_bytes: int, live_bytes: int) -> bool:
        """Return whether a file of this size leaves room for its compacted copy."""
        return round_up_to_blocks(file_bytes) + round_up_to_blocks(live_bytes) <= self.limit_bytes

    def max_file_bytes(self, live_bytes: int) -> int:
        """Return how large a file may be so that its compacted copy fits beside it."""
        whole_blocks_bytes = self.limit_bytes // BLOCK_BYTES * BLOCK_BYTES
        return max(0, whole_blocks_bytes - round_up_to_blocks(live_bytes))

    def copy_limit_bytes(self, file_bytes: int) -> int:
        """Return how large a second file may be beside a file of this size; 0 if there is no room."""
        free_bytes = max(0, self.limit_bytes - round_up_to_blocks(file_bytes))
        return free_bytes // BLOCK_BYTES * BLOCK_BYTES

    def _fits_twice(self, live_bytes: int, headroom_share: float) -> bool:
        headroom_bytes = int(headroom_share * self.limit_bytes)
        return 2 * round_up_to_blocks(live_bytes) + headroom_bytes <= self.limit_bytes
