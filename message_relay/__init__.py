"""A relay that accepts messages and delivers each to an endpoint of its destination."""
