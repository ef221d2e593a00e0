"""Membership of entry hosts and backend servers: live, leaving or unreachable."""
