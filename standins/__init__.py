"""Small stand-ins for the platform and the targets, for tests and the demo."""
