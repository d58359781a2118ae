"""The process of an entry instance, several of which share the pools."""
