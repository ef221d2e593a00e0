"""Measurements of the decision modules and of single costs."""
