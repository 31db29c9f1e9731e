"""RESP2 server to which clients submit messages."""
