"""Decision core: events in, actions out, without sockets, clock or randomness."""
