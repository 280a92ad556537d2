"""Randomized fault soak: whole daemons as processes, faults from outside.

``python -m standins.soak.main --seeds 50`` starts the daemons of a site on
loopback, each behind relays of its own, lets callers submit jobs while links,
processes, workers and the store misbehave, and checks what callers and workers
saw. ``seeds.yaml`` keeps each seed that ever failed.
"""

__all__: list[str] = []
