"""The read-only page for the control room's large screens."""

from __future__ import annotations

from importlib import resources

# The page loads no external resources and connects to its own origin only.
CONTENT_SECURITY_POLICY = (
    "default-src 'none'; style-src 'unsafe-inline'; script-src 'unsafe-inline'; connect-src 'self'"
)


def load_page() -> str:
    """Returns the HTML of the page; it contains no data and no token."""
    return resources.files("medlarvale.operators").joinpath("wall.html").read_text("utf-8")
