"""Formats: callers' bodies and headers, and the messages between own processes."""
