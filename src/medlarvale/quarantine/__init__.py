"""Requests that crash the servers that run them."""
