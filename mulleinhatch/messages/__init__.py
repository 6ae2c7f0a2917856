"""The messages between the processes of the system; `cluster.proto` defines them and `cluster.py` is generated from it."""
