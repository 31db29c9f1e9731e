"""Short runs of the soak (see soak.py, which is also the program of the long run)."""

import pytest
import soak

DURATION_S = 12.0


# Guards against any path on which clients, endpoints and signals together make the relay break a promise.
@pytest.mark.parametrize("seed", [101, 102, 103])
def test_the_relay_keeps_its_promises_under_clients_that_misbehave_and_signals(seed):
    run = soak.play(seed, DURATION_S)
    assert not run.violations, {subject: run.history.lines[subject] for subject in run.violations[:3]}
    assert run.counts["+OK"] > 100 and run.peak_bytes > 0
