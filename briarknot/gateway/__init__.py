"""Program that serves clients on the platform."""
