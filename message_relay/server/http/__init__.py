"""An HTTP/1.1 client connection."""
