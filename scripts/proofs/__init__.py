"""Failure proofs: end-to-end tests that inject faults into real processes. The docstring of each proof names the failure that it guards against."""

from proofs import combined, configuration, documents, hostile, owner, planned, store, workers, zones  # noqa: F401  (registers the proofs)
