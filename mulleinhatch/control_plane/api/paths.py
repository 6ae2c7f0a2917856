"""HTTP paths of the control plane. They are part of the protocol: peers, backends and operators call them."""

CONFIGURATION_PATH = "/configuration"
STATUS_PATH = "/status"
INSTANCES_PREFIX = "/instances/"  # followed by the id of one backend
INTERNAL_PREFIX = "/internal/"  # followed by the name of one message
