"""Names, formats and calls of the users' platform; it decides nothing.

Only this package knows the platform's headers, keys and fields. Each is decoded once, into the
types of ``medlarvale.forwarding.messages``.
"""
