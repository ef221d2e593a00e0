"""Soak of the real programs: hosts as processes, with callers, releases and faults from a seed."""
