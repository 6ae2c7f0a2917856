"""The process of a service instance: settings, wiring of its parts, I/O, signals, logs and status."""
