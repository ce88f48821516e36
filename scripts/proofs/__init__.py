"""Failure proofs with real processes. Each proof is one function; its docstring says which failure it guards against."""

from proofs import combined, configuration, documents, hostile, owner, planned, store, workers, zones  # noqa: F401  (registers the proofs)
