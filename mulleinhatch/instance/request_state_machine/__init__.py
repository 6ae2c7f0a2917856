"""The state machine of a service instance: events in, actions out. No I/O."""
