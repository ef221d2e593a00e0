"""Forwards callers' requests to backend servers unchanged: plain calls and streams."""
