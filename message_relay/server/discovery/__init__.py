"""Clients of the discovery service: the watch on the endpoint list, and the notices of final answers."""
