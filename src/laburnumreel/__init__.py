"""A serving system for language models and their applications on a limited fleet."""
