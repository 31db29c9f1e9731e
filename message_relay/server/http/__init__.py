"""HTTP/1.1 client connections on non-blocking sockets."""
