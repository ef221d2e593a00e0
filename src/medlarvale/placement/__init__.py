"""Decides which engine is asked to run a stream."""
