"""Calls that may run at most once."""
