"""Declaration and validation of the settings of a node."""
