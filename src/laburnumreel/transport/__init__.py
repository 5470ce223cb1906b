"""Servers and connections."""
