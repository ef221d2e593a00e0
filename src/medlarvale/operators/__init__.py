"""Status, metrics and the wall page for operators."""
