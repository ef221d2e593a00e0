"""Settings tree: schema, inheritance, validation and the version in force."""
