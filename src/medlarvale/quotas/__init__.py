"""Quotas of workspaces across all hosts, without a store."""
