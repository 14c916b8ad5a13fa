"""Messages between services and nodes, and outcomes of requests.

`dispatch`, `platform_objects` and `stored_objects` belong to nodes of the
gateway; `exchange`, `home` and `logs` to nodes of `carawayd`. Both use
`outcomes`.
"""
