"""Which long bodies are received: the load that the decision answers."""

import math

from carawaystair.load import intake as intakes

STEP_S = 0.1
LONG_S = 10.0


class Caller:
    """A caller that sends a long body.

    :param body: the body.
    :param every_s: interval in which it sends, seconds.
    :param size: bytes that it sends each time.
    """

    def __init__(
        self, body, every_s=math.inf, size=intakes.STEP_BYTES
    ) -> None:
        self.body = body
        self.every_s = every_s
        self.size = size
        self.next_at = every_s
        body.wait(0.0)

    def play(self, now: float) -> None:
        """Send what is due."""
        if now >= self.next_at:
            self.body.receive(self.size, now)
            self.body.wait(now)
            self.next_at = now + self.every_s


def play(limit, senders, until_s):
    """Let callers send for a while; return the intake and the bodies.

    :param senders: owner of each body, and how its caller sends.
    """
    intake = intakes.Intake(limit)
    callers = [Caller(intakes.Body(owner), *how) for owner, *how in senders]
    for caller in callers:
        intake.add(caller.body)
    for number in range(round(until_s / STEP_S)):
        for caller in callers:
            caller.play((number + 1) * STEP_S)
    return intake, [caller.body for caller in callers]


def test_body_that_stopped_short_makes_room():
    """Guards against bodies that never end and keep all others out."""
    senders = [('a', 0.2), ('b'), ('c', 0.2)]
    intake, bodies = play(3, senders, LONG_S)
    assert intake.is_full
    assert intake.to_break_off('d', LONG_S) is bodies[1]


def test_byte_a_second_is_no_progress():
    """Guards against callers that send just enough to seem alive."""
    senders = [('a', 0.2), ('b', 0.9, 1)]
    intake, bodies = play(2, senders, LONG_S)
    assert intake.to_break_off('d', LONG_S) is bodies[1]


def test_bodies_that_make_progress_stay():
    """Guards against a crowd that ends the uploads of others."""
    senders = [(owner, 0.3) for owner in 'abcd']
    intake, _bodies = play(4, senders, LONG_S)
    assert intake.to_break_off('e', LONG_S) is None


def test_owner_of_most_makes_room_for_others():
    """Guards against one caller that takes all the room."""
    senders = [('greedy', 0.3)] * 3 + [('b', 0.3)]
    intake, bodies = play(4, senders, LONG_S)
    assert intake.to_break_off('c', LONG_S) in bodies[:3]
    assert intake.to_break_off('greedy', LONG_S) is None


def test_waits_of_this_process_are_not_the_callers():
    """Guards against ending uploads that wait for a slow upstream."""
    senders = [('a', 0.2), ('b', 0.2)]
    intake, bodies = play(2, senders, 1.0)
    for body in bodies:
        body.receive(intakes.STEP_BYTES, 1.0)
    assert intake.to_break_off('c', 1.0 + LONG_S) is None


def test_room_is_given_back_once():
    """Guards against counts that drift."""
    intake = intakes.Intake(1)
    body = intakes.Body('a')
    intake.add(body)
    intake.remove(body)
    intake.remove(body)
    assert not intake.is_full
    assert not intake.owners
