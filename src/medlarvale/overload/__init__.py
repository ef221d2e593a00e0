"""Decides who waits, who is served first and who is refused when demand exceeds capacity."""
