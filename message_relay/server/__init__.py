"""One relay instance: sockets, journal and clock around the policy. No delivery decision is taken here."""
