"""The server of one relay instance: sockets, journal and clock. The policy makes all delivery decisions."""
