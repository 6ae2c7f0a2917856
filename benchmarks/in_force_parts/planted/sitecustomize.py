"""Plants a defect into a data plane or control plane whose module path names this directory: the checks must find it.

`PLANTED_DEFECT` names it, as in `benchmarks.in_force_parts.defects.PlantedDefect`.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.getcwd())
DEFECT = os.environ.get("PLANTED_DEFECT", "")


def _serve_dropped_routes():
    from mulleinhatch.configuration.host_routes import HostRoutes

    changed_steps = HostRoutes.changed_steps
    HostRoutes.changed_steps = lambda self, added, removed: changed_steps(self, added, ())


def _keep_former_service():
    from mulleinhatch.data_plane.router import Router

    services = {}
    Router._choose_service = lambda self, route: services.setdefault(route.name, route.weighted_services[0][0])


def _stay_one_version_behind_after_a_view_change():
    from mulleinhatch.data_plane.control_plane_client import ControlPlaneClient

    apply_configuration = ControlPlaneClient._apply_configuration
    first_epoch, skipped = [], set()

    async def apply_later(self, update):
        first_epoch.append(update.epoch)
        if update.epoch == first_epoch[0] or len(skipped) % 2 and update.configuration_version not in skipped:
            skipped.add(update.configuration_version)
            return await apply_configuration(self, update)
        skipped.add(update.configuration_version)
        await asyncio.sleep(0.2)
        return []

    ControlPlaneClient._apply_configuration = apply_later


def _confirm_old_version_after_a_restart():
    from mulleinhatch.control_plane.majority_contact import MajorityContact
    from mulleinhatch.control_plane.node import ControlPlaneNode
    from mulleinhatch.control_plane.replicated_log import ReplicatedLog

    open_node, apply = ControlPlaneNode.open, ReplicatedLog.apply

    def apply_at_the_head(self):
        if self.replica.is_head:
            apply(self)

    async def confirm(self):
        return True

    def open_and_confirm(self):
        open_node(self)
        if self.state.document.version:
            ReplicatedLog.apply = apply_at_the_head
            MajorityContact.wait_for_majority_contact = confirm
            MajorityContact.has_majority_contact = lambda self: True

    ControlPlaneNode.open = open_and_confirm


def _keep_first_addresses():
    from mulleinhatch.process.settings_watch import SettingsWatch

    SettingsWatch.check = lambda self: None
    if "control_plane.py" in sys.orig_argv[-1]:
        from mulleinhatch.control_plane.data_plane_calls import DataPlaneCalls

        DataPlaneCalls.call_silent = lambda self: None


PLANT = {
    "SERVE_DROPPED_ROUTES": _serve_dropped_routes,
    "KEEP_FORMER_SERVICE": _keep_former_service,
    "STAY_ONE_VERSION_BEHIND": _stay_one_version_behind_after_a_view_change,
    "KEEP_FIRST_ADDRESSES": _keep_first_addresses,
    "CONFIRM_OLD_VERSION": _confirm_old_version_after_a_restart,
}
if DEFECT:
    PLANT[DEFECT]()
