"""Which node owns a shard, and what it keeps of its keys."""
