"""All decisions on held requests: the shared mechanism, and the decisions of the instance in service.

Called by the hosts of `AdmissionController` and by the system's data plane; pure.
"""

from mulleinhatch.admission.controller import FULL_ENOUGH, NOT_EXECUTED_ENDINGS, AdmissionController, Row, Stage, rows_of

__all__ = ["FULL_ENOUGH", "NOT_EXECUTED_ENDINGS", "AdmissionController", "Row", "Stage", "rows_of"]
