"""Load experiments for the decision modules and cost measurements of single operations."""
