"""Decision logic as plain classes without I/O; the time is passed in.

- `routing`: which service a request goes to.
- `admission`: who is let in; slots, queues, retry budgets, quarantine.
- `placement`: which target a request goes to.
- `targets`: what is known of targets, and what they ask of their callers.
- `propagation`: how changes of the configuration reach every node.
- `ownership`: which node owns a shard of `carawayd`, and its keys.

A node of the gateway (`carawaylane.gateway`) starts from
`admission.dispatcher`, a home of `carawayd` (`carawaylane.services`) from
`admission.slots`, `targets.health` and `ownership.ledger`.
"""
