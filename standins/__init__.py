"""Stand-ins for the platform, engines and services, for tests and measurements."""
