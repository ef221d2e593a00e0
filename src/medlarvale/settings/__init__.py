"""The tree of settings: its schema, inheritance, checks and the version in force."""
