"""Prefers engines that probably still hold the beginning of a prompt in their cache."""
