"""Router for inference pipelines over mixed accelerators."""

__version__ = "0.1.0"
