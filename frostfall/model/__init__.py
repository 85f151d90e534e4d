"""A fleet in virtual time: the real decisions of many agents against modelled servers, links and services."""
