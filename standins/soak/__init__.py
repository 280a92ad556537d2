"""Randomized fault soak: whole daemons as processes, external faults.

``python -m standins.soak.main --seeds 50`` starts the daemons of a site on
loopback, each behind its own relays, lets callers submit jobs while faults are
injected into links, processes, workers and the store, and checks the outcomes
that callers and workers recorded. ``seeds.yaml`` lists each seed that ever
failed.
"""

__all__: list[str] = []
