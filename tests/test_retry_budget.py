"""Repeated sends of all hosts together stay within the deployment's budget (incident of issue 23)."""

import pytest
from repeats_world import World

HOSTS = 24
PER_S = 96.0


@pytest.mark.parametrize("seed", range(3))
def test_repeats_stay_in_the_budget_while_copies_lapse(seed):
    """Each request that went on after a refused copy was read and run again for one permit."""
    world = World(seed, HOSTS)
    world.run(12.0, PER_S)
    world.answers.runs_refused = 0.6
    world.run(15.0, PER_S)
    assert world.worst_excess() <= 0
    assert world.outcomes["served"] > world.outcomes["failed"]


@pytest.mark.parametrize("seed", range(3))
def test_request_earns_a_share_of_the_budget_once(seed):
    """Each placement of a request earned as much as a request, those after failures too."""
    world = World(seed, HOSTS)
    world.run(12.0, PER_S)
    world.answers.streams_broken = 0.9
    world.run(15.0, PER_S)
    assert world.worst_excess() <= 0


@pytest.mark.parametrize("seed", range(3))
def test_hosts_that_start_do_not_spend_the_budget_once_more(seed):
    """A process that had heard no peer yet took the fixed part of the budget for itself alone."""
    world = World(seed, HOSTS)
    world.answers.streams_broken = 0.5
    world.run(12.0, PER_S)
    world.hosts = [world.start(number, knows_others=False) for number in range(HOSTS)]
    world.run(4.0, PER_S)
    for host in world.hosts:
        host.hosts(HOSTS)
    world.run(10.0, PER_S)
    assert world.worst_excess() <= 0
