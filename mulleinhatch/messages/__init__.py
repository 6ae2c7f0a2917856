"""What the system's processes say to each other: betterproto messages, generated from `cluster.proto`.

For every part that sends or reads them; the generated module is committed, so that a build needs no generator.
"""
