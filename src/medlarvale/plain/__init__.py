"""Calls to plain services."""
