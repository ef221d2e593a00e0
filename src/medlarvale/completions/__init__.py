"""The path of a model request through its engines."""
