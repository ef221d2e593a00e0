"""Router for separate prefill and decode pools, and for plain services beside them."""
