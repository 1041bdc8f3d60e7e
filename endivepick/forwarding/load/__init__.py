"""Load of targets and zones, shared by the instances, and its use for placement."""
