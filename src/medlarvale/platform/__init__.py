"""Names, formats and calls of the users' platform; it decides nothing.

Only this package knows the platform's headers, keys and fields. Each is decoded once, into the
types of ``medlarvale.forwarding.messages``. ``standin`` plays the platform for tests and the
demonstration, so it speaks the same names from the other side.
"""
