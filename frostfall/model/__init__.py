"""Simulations in virtual time: the real code of agents with simulated servers, links, disks and services."""
