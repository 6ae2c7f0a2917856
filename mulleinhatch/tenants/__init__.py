"""Tenants of the configuration: their attributes, the API keys that identify them, and their quotas. Pure."""
