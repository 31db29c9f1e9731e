"""A hot restart: the process that serves hands everything over to one that was started beside it."""
