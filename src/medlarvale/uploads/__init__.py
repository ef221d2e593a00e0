"""Bounds on what untrusted callers may hold of a host: bodies, heads and connections."""
