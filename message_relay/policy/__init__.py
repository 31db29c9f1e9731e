"""Every decision of the relay. Pure: events in, actions out; the time and the seed are given."""
