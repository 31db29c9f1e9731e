"""Every decision of the relay: events in, actions out, with the time and the seed given."""
