"""The RESP2 server that clients submit messages to."""
