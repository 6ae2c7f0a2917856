"""Validate a patch against the configuration in force."""

from __future__ import annotations

from typing import Any

from result import Err, Result

from mulleinhatch.configuration.document import Document, check_patch_steps
from mulleinhatch.configuration.reference_index import ReferenceIndex
from mulleinhatch.errors import ConfigurationError
from mulleinhatch.steps import Steps, complete


def apply_patch(document: Document, value: dict[str, Any]) -> Result[Document, ConfigurationError]:
    """Validate a patch at once and return the configuration after it; see `apply_patch_steps`."""
    return complete(apply_patch_steps(document, value, ReferenceIndex()))


def apply_patch_steps(
    document: Document, value: dict[str, Any], index: ReferenceIndex
) -> Steps[Result[Document, ConfigurationError]]:
    """Validate a patch and return the configuration after it.

    Args:
        document: The current configuration; it is not modified.
        value: The patch, as for `check_patch_steps`.
        index: Follows the current configuration; one that is used for successive changes makes them cheap.
    """
    if isinstance(patched := (yield from check_patch_steps(document, value)), Err):
        return patched
    yield from index.follow_steps(document)
    if isinstance(references := (yield from index.check_patch_steps(value)), Err):
        return references
    return patched
