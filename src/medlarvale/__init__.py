"""Router for services with separate prefill and decode pools, and for plain services."""
