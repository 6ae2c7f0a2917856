"""The registry of backends of one control-plane node.

Heartbeats from backends and from the other control-plane nodes update it; distribution and placement read it.
"""

from mulleinhatch.control_plane.registry.backend_registry import BackendRegistry, RegistryChanges, RegistryEntry

__all__ = ["BackendRegistry", "RegistryChanges", "RegistryEntry"]
