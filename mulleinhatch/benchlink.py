"""Entry point of the simulator adapter: `python -m mulleinhatch.benchlink`, the command that `deploy/balancer.toml` names."""

import sys

from mulleinhatch.simulator_adapter.adapter import main

if __name__ == "__main__":
    sys.exit(main())
