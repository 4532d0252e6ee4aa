"""Whether an upstream that failed gets work that can't be repeated.

The load that this answers: an upstream fails most of what it is given for
some seconds while its health answer is good, and requests that may run only
once are lost there one after another.  Sound upstreams fail about one request
in a hundred, gray ones most; where a tenth of them may be gray at any time,
one failure makes it likely that the next request fails, too.  So one failure
is enough to keep work that can't be repeated away while others have room, and
repeatable requests, which can be tried elsewhere, show when it is sound
again.
"""

import math

# So many good answers in a row end a suspicion.  Each one more keeps a sound
# upstream idle for longer: three instead of two cost 2.5 of 100 requests at
# 0.7 of the capacity (bench/exp_gateways).
GOOD_RUN = 2
# An upstream that fails half of its requests passes two by chance in one case
# of four.  One that fails again within RELAPSE_S of being cleared therefore
# needs one more each time, up to MOST_RUN.
RELAPSE_S = 4.0
MOST_RUN = 6
# An upstream turns gray from one moment to the next, once in some seconds.
# A request that can't be repeated is therefore given to one that showed
# sound work within this time, if any did, in seconds; others show theirs by
# requests that can.
PROOF_S = 0.25
# Without work for so long, an upstream that is not under suspicion takes what
# can't be repeated without a proof, seconds.  Only work proves: were the proof
# asked of all, whoever has some work would keep it and the others never get
# any, which is an ejection without a floor.  With a second all sound upstreams
# get work in two seconds instead of 57 of 100, and 2 of 100 payouts more meet
# one that has turned gray (46 payouts a second before 20 upstreams of which 6
# stay gray).  Sooner still spreads better under load, but with half a second
# few callers reach fewer upstreams (test_gateway_spread).
IDLE_S = 0.7
# An upstream that has not failed a run after so long has not turned gray
# before it began: gray ones fail at once, as a rule; seconds.
SURVIVED_S = 0.05
# About this share of the upstreams is gray at any time, each for some seconds
# in ten; what was seen of one tells less and less for about so long, seconds.
GRAY_SHARE = 0.3
FORGET_S = 2.0
# An upstream that sheds has not run the request, which can go elsewhere; all
# of a service may shed a part at once.  Were one shed request enough, all
# would stand under suspicion and hardly any work be done.  So many in a row
# show one that takes nothing.
SHED_RUN = 3
# The share of its requests that an upstream under suspicion fails.
SUSPECT_RISK = 0.75
# Repeatable requests are let through as trials so far apart, in seconds.  Of
# eight upstreams two or three are gray at a time, and most trials of those
# cost a repeat: three trials a second each took all repeats that a service
# of the smallest kind may have.
TRIAL_EVERY_S = 0.5
# With each trial that fails the next one is so many times later, up to this:
# an upstream that stays gray does so for ten seconds and more.  Repeats fall
# from 9.5 to 7.0 of 100 requests, and as many are served (model of gateways,
# experiment "searches").
TRIAL_GROWTH = 1.5
TRIAL_MOST_S = 1.0
# After a good trial the next one may follow so soon, seconds.
NEXT_TRIAL_S = 0.1
# Why a request is kept from an upstream.
SUSPECT = 'suspect'  # it failed lately
UNPROVEN = 'unproven'  # it has shown no sound work lately
# Without any failure for so long, a request that can't be repeated is let
# through as a trial: gray failures last some seconds, and a service may have
# no other requests.  Below two seconds, so that one that is sound again has
# work by then: of those that were sound for two seconds 3 of 100 have none in
# two more, 12 with three seconds; 84 of 100 payouts are served then, 87 with
# three (105 payouts a second alone before 52 upstreams, each gray for three
# tenths of the time; two seeds).
PROBATION_S = 1.7


class Suspicion:
    """What the answers of one upstream make of it."""

    def __init__(self) -> None:
        self.suspect = False
        self.good_run = 0
        self.failed_at = 0.0
        self.tried_at = 0.0
        self.trial_every_s = TRIAL_EVERY_S
        # Requests that it shed since it last took one.
        self.shed_run = 0
        # Whether it failed at once, when it did last.
        self.fast = False
        # Good answers that end the suspicion, and when the last one ended.
        self.needed = GOOD_RUN
        self.cleared_at = -math.inf
        # Beginnings of runs that were counted when they had survived.
        self.counted: set[float] = set()
        # When it last began a run that showed sound work.
        self.proof_at = -math.inf
        # When it last began any run.
        self.began_at = -math.inf

    def began(self, now: float) -> None:
        """Take note that a run begins."""
        self.began_at = now

    def idle_s(self, now: float) -> float:
        """Return how long no run has begun, seconds; infinite before any."""
        return now - self.began_at

    def declines(self, repeatable: bool, repeat: bool, now: float) -> str:
        """Return why a request is kept away; nothing when it is let in.

        Where the upstream is under suspicion it is let in as a trial, and
        counted as that.  One that failed elsewhere is no trial: it must not
        fail again, and needs the same proof as one that may run only once.
        Otherwise it may meet a second gray upstream, and its caller gets the
        failure.

        :param repeatable: whether the request may run twice.
        :param repeat: whether it was sent to another upstream before.
        """
        trial = repeatable and not repeat
        idle = not repeat and self.idle_s(now) >= IDLE_S
        if not (trial or idle or self.proven(now)):
            # Not counted as a trial: it would take the place of one that is
            # due.
            return SUSPECT if self.suspect else UNPROVEN
        return '' if self.admits(trial, now) else SUSPECT

    def survived(self, began: float) -> bool:
        """Take note that a run did not fail at once.

        Where the upstream failed at once before, that shows as much as a
        good answer, and half a second earlier.

        :param began: when the run began.
        :return: whether a suspicion ended.
        """
        self.shed_run = 0
        if began <= self.failed_at:
            return False
        self.proof_at = max(self.proof_at, began)
        if not self.fast:
            return False
        self.counted.add(began)
        return self._good()

    def proven(self, now: float) -> bool:
        """Tell whether sound work was seen lately."""
        return now - self.proof_at <= PROOF_S

    def good(self, began: float) -> bool:
        """Take note of a good answer; tell whether a suspicion ended.

        :param began: when its run began.
        """
        self.proof_at = max(self.proof_at, began)
        if began in self.counted:
            self.counted.discard(began)
            return False
        return self._good()

    def _good(self) -> bool:
        if not self.suspect:
            return False
        self.good_run += 1
        if self.good_run < self.needed:
            return False
        self.suspect = False
        self.cleared_at = self.proof_at
        return True

    def shed(self, now: float) -> bool:
        """Take note of a request that was shed; tell whether a suspicion
        began.
        """
        self.shed_run += 1
        return self.shed_run >= SHED_RUN and self.failed(now)

    def failed(self, now: float, took_s: float = 0.0) -> bool:
        """Take note of a failure; tell whether a suspicion began.

        :param took_s: how long the run took that failed.
        """
        self.good_run = 0
        self.fast = took_s < SURVIVED_S
        self.counted.clear()
        self.failed_at = now
        began = not self.suspect
        if began:
            relapsed = now - self.cleared_at < RELAPSE_S
            more = min(self.needed + 1, MOST_RUN)
            self.needed = more if relapsed else GOOD_RUN
            self.suspect = True
            self.tried_at = now
            self.trial_every_s = TRIAL_EVERY_S
        else:
            later_s = TRIAL_GROWTH * self.trial_every_s
            self.trial_every_s = min(later_s, TRIAL_MOST_S)
        return began

    def admits(self, repeatable: bool, now: float) -> bool:
        """Tell whether a request should run here; a trial is counted."""
        if not self.suspect:
            return True
        quiet = now - self.failed_at > PROBATION_S
        every_s = NEXT_TRIAL_S if self.good_run else self.trial_every_s
        due = now - self.tried_at >= every_s
        if due and (repeatable or quiet):
            self.tried_at = now
            return True
        return False


def risk(proof_s: float, suspect: bool) -> float:
    """Return how likely a request fails for a gray upstream.

    :param proof_s: age of the last sign of sound work, seconds.
    :param suspect: whether the upstream is under suspicion.
    """
    if suspect:
        return SUSPECT_RISK
    return GRAY_SHARE * (1.0 - math.exp(-proof_s / FORGET_S))
