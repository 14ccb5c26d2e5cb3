"""Choice of the service of a request."""

import random

from briarknot import schema


def choose_destination(
    route: schema.serving.Route, random_source: random.Random
) -> str:
    """Chooses the service of a request at random by destination weights.

    :param route: route of the request.
    :param random_source: source of randomness.
    """
    if len(route.destinations) == 1:
        return route.destinations[0].service
    weights = [one.weight for one in route.destinations]
    chosen = random_source.choices(route.destinations, weights)[0]
    return chosen.service
