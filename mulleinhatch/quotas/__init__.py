"""Tenant quotas shared by all data planes: one owner per tenant holds its bucket and makes short-lived grants. Pure."""
