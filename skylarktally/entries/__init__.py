"""The processes of the entry instances that share the pools."""
