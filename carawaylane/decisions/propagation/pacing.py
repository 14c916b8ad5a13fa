"""How much of its link a node uses to send large objects.

For starts of all nodes and changes of most of a large configuration, when many
nodes ask a few for the same text.
"""

from __future__ import annotations

from attrs import define

# The rest of the link is for requests.
LINK_SHARE = 0.5
BYTES_PER_MBIT = 125_000
# What may be sent at once after a pause.
BURST_S = 0.3


def link_time_s(size: int, link_mbps: float) -> float:
    """Return how long a node's share of its link takes for so many bytes."""
    return size / (link_mbps * BYTES_PER_MBIT * LINK_SHARE)


@define(kw_only=True, eq=False, repr=False)
class SendPace:
    """A token bucket of bytes, filled at a share of the link."""

    link_mbps: float
    _sent_bytes: float = 0.0
    _updated_at_s: float = 0.0

    def try_send(self, size: int, now_s: float) -> bool:
        """Return whether so many bytes may be sent now, and count them.

        A message that is larger than the burst is sent after a pause.
        """
        rate = self.link_mbps * BYTES_PER_MBIT * LINK_SHARE
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._sent_bytes = max(0.0, self._sent_bytes - elapsed_s * rate)
        self._updated_at_s = now_s
        if self._sent_bytes and self._sent_bytes + size > rate * BURST_S:
            return False
        self._sent_bytes += size
        return True
