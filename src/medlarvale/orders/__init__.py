"""Orders to engines: which role and model each engine of a group should have."""
