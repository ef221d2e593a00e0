"""Developer commands, not part of the installed package."""
