"""Runs delivery policies for the simulator, which sends events and receives actions as binary frames."""
