"""Decision logic as plain classes without I/O; the time is passed in.

A node of the gateway (`carawaylane.gateway`) chooses a target for each request
by `dispatcher`, which builds on `target_pool`, `failure_estimate`,
`target_state`, `usage_floor`, `shared_retry_budget` and `quarantine`. Its copy
of the platform's objects is in `replica`, `dissemination` says how that
spreads, and `route_table` matches requests to services.

A node of `carawayd` (`carawaylane.services`) grants the slots of a shard by
`slots`, ejects targets by `health` and `detector`, and limits retries by
`retry_budget`; it uses `quarantine`, too. Unsafe requests run at most once by
`ledger`, `journal`, `ownership` and `succession`. `changelog` replicates the
fleet log, applied in `fleet`, and the configuration, indexed in
`compiled_config` and `traffic_kinds` by the `selector` of each document.
`membership` detects failed nodes, and `placement` assigns shards to nodes.
"""
