"""Peers, duty leases with fencing, and confirmation of drains."""
