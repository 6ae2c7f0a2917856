"""The messages between the processes of the system, defined in `cluster.proto`, from which `cluster.py` is generated."""
