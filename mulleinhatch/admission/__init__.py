"""All decisions on held requests: the shared mechanism, and the decisions of the instance in service.

Called by the hosts of `AdmissionController` and by the system's data plane; pure.
"""

from mulleinhatch.admission.controller import NOT_EXECUTED_ENDINGS, AdmissionController, RequestClass, Stage, request_classes

__all__ = ["NOT_EXECUTED_ENDINGS", "AdmissionController", "RequestClass", "Stage", "request_classes"]
