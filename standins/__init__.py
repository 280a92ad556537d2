"""Small stand-ins for the platform and workers; no part of the daemon."""
