"""A hot restart: the serving (old) process hands over to a new process without disconnecting clients.

The journal lock decides which process serves: only the process that holds it writes to the journal, accepts
clients and starts attempts. The processes exchange frames over a Unix socket on which the old process
listens. Where file locks are not supported, hot restart is disabled: a new process starts from the journal
without a handover. The steps:

1. The new process finds the lock held, waits briefly for an endpoint list from discovery, connects to the
   socket and sends `HandoverRequested`. The old process holds the lock and serves.
2. The old process stops serving, captures its state and releases the lock. It sends `StateHandedOver` with
   the listening socket, `ClientsHandedOver` with the clients' sockets, and `HandoverComplete`. No process
   holds the lock now. Calls in flight continue in the old process, which queues their outcomes.
3. The new process acquires the lock, sends `OwnershipTaken` before it writes any record, restores its state
   and serves.
4. The old process drains: it sends the outcomes of its calls in flight to the new process, which records
   them. It exits when the last one is sent and its remaining client connections are closed.

If a process ends early, or a step takes too long:

- In step 1, if the new process ends, the old one serves on. If the old process rejects the request or ends,
  the new one repeats step 1, and starts from the journal as soon as the lock is free.
- In steps 2 and 3, if the new process ends or does not send `OwnershipTaken` in time, the old one acquires
  the lock again, processes the queued outcomes and serves on. It cannot do so if the new process holds the
  lock or has changed the journal; it then drains as in step 4, but does not send the outcomes, and the new
  process treats the attempts in flight as possibly applied.
- In steps 2 and 3, if the new process does not receive the complete handover in time, or cannot acquire the
  lock in time, it drops the received state and repeats step 1. It does the same if the old process ends.
- In step 4, if the old process ends, the attempts without a reported outcome are possibly applied, like
  attempts in flight at an ordinary restart.
- In step 4, if the new process ends, the old one still drains, but the outcomes are lost: the next process
  starts from the journal, in which these attempts are possibly applied.
"""
