"""The journal of accepted messages."""
