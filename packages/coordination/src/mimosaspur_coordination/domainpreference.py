"""Weigh a target in another failure domain against one in the entry's own.

Answers load: at a site with thin links, requests and answers make up most of the traffic between
failure domains, because a difference of a few milliseconds sends a request to another one.
"""

# Cost of a target in another failure domain beside its latency, which is under a millisecond.
MIN_CROSSING_COST_MS = 15.0
# Part of the objective that a request may wait longer in order to stay in its failure domain: it
# leaves most of the objective to errors of the prediction.
CROSSING_OBJECTIVE_SHARE = 1 / 8
# Links above this rate carry the traffic of an entry many times over.
THIN_LINK_MBPS = 100.0


def crossing_cost_ms(*, objective_ms: int, link_mbps: float) -> float:
    """Return the cost of a target in another failure domain, in milliseconds.

    `link_mbps` is the rate of the entry's link, 0 if unknown.
    """
    if not 0.0 < link_mbps <= THIN_LINK_MBPS:
        return MIN_CROSSING_COST_MS
    return max(MIN_CROSSING_COST_MS, objective_ms * CROSSING_OBJECTIVE_SHARE)
