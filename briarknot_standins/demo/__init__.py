"""Shows a fleet at work on built-in stand-ins."""
