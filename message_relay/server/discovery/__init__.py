"""The discovery service: the endpoint list, and the notices of final answers."""
