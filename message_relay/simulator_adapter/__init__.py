"""The decisions on the frames of the simulator."""
