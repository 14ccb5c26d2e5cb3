"""Gateway program: serves the clients of the platform."""
