"""Decides which engine runs a stream where many hosts share the engines of a service."""
