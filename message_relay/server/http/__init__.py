"""An HTTP/1.1 client connection on a non-blocking socket."""
