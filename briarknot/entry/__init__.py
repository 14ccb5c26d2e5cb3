"""The entry program: callers' requests, from admission to the answer."""
