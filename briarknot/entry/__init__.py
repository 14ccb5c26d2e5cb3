"""Entry program: serves callers' requests, from admission to the answer."""
