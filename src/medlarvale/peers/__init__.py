"""Authenticated messages between entry hosts."""
