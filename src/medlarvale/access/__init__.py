"""Decides which requests of callers are accepted, by the API keys of the configuration."""
