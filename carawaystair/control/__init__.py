"""The control role: the replicated log of accepted manifests."""
