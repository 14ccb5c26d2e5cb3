"""Controller of a failure domain: drains, orders, and role plans."""
