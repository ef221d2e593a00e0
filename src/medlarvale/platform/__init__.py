"""Adapter to the users' platform: its wire names, formats and calls, without decisions.

The platform's headers, keys and fields appear only in this package. They are decoded once, into the
types of ``medlarvale.forwarding.messages``. ``standin`` simulates the platform for the tests and
the demonstration and uses the same names on the server side.
"""
