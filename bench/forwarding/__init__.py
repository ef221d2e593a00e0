"""Experiments on the forwarding hosts with emulated engines, in virtual time."""
