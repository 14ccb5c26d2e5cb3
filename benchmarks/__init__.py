"""Load scenarios and measurements over real processes."""
