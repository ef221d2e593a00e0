"""Load experiments of forwarding hosts with emulated engines in virtual time."""
