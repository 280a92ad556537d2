"""The main job: stand-ins and daemons on loopback, traffic, and a wave."""
