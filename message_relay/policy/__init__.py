"""The delivery policy: every decision of the relay, as a function of events, time and a random seed.

The modules do no I/O and read no clock. They update the shared PolicyState and append actions for the server.
"""
