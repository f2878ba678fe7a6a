"""Small stand-ins of the platform and the engines, for tests and measurements."""
