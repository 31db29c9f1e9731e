"""The state of the policy does not grow with messages that have ended, under however many names they came."""

from policy_driver import CLASSES, SECOND, PolicyDriver

from message_relay.model import MessageClass, MessageSubmitted, MessageWithdrawn
from message_relay.policy_state import state as policy_state


def submitted(driver, message, *, deadline_s=160, **fields):
    values = {"message_class": 0, "destination": 1, "deadline_us": driver.now_us + deadline_s * SECOND}
    return MessageSubmitted(message=message, **{**values, **fields})


# Guards against one check for expiry for each message of a client that leaves, until the message's deadline.
def test_checks_for_the_expiry_of_withdrawn_messages_are_removed():
    driver = PolicyDriver(endpoints=0)
    open_messages = [submitted(driver, number, destination=5) for number in range(1, 11)]
    driver.run_tick(*open_messages)
    for number in range(100, 20_000):
        driver.run_tick(submitted(driver, number, destination=5), MessageWithdrawn(number))
    state = driver.policy.state
    assert len(state.expiries) <= policy_state.MIN_PRUNED_EXPIRIES + 2 * len(state.messages) + 1
    assert {number for _, number in state.expiries} >= set(state.messages) == set(range(1, 11))


# Guards against a destination for each name that a client makes up before the first endpoint list.
def test_destinations_without_endpoints_and_messages_are_removed():
    driver = PolicyDriver(endpoints=1)
    driver.run_tick(submitted(driver, 1, destination=2))
    for number in range(100, 5_000):
        driver.run_tick(submitted(driver, number, destination=number), MessageWithdrawn(number))
    destinations = driver.policy.state.destinations
    assert len(destinations) <= policy_state.MIN_PRUNED_DESTINATIONS + 3
    assert {1, 2, 4_999} <= set(destinations)


# Guards against a pause for each order key whose message failed ambiguously, kept for ever.
def test_pauses_of_order_keys_are_removed_when_they_are_over():
    ordered = MessageClass("ordered", SECOND, 10 * SECOND, ordered=True)
    driver = PolicyDriver(classes=(*CLASSES, ordered), order_key_pause_us=SECOND)
    state, sizes = driver.policy.state, []
    for number in range(1, 201):
        state.now_us = number * SECOND // 10
        state.pause_order_key(number)
        sizes.append(len(state.order_pauses))
    assert max(sizes) <= 11 and 200 in state.order_pauses
