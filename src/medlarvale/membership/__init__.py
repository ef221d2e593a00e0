"""Which entry hosts and backend servers are live, leaving or gone."""
