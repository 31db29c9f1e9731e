"""Calls to the endpoints of destinations."""
