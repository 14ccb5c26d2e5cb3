"""Generated classes."""
