"""The operators' command line ``heathershunt``."""
