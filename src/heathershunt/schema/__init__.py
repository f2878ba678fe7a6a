"""Strict conversion of untrusted mappings into frozen dataclasses."""

from heathershunt.schema.schema import SchemaError, strict_convert

__all__ = ["SchemaError", "strict_convert"]
