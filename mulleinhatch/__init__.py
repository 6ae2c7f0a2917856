"""mulleinhatch: admission and scheduling decisions for servers behind other people's balancers."""

__version__ = "0.2.0"
