"""Decisions and agreement between nodes."""
