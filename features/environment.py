"""Hooks of behave: checks that run after every scenario."""

from typing import Any

from features.support import calls
from features.support import control_vms
from features.support import proxies


def after_scenario(context: Any, scenario: Any) -> None:
    """Fails the scenario if it broke a promise in any of its steps."""
    del scenario
    vms = getattr(context, "vms", None)
    if isinstance(vms, control_vms.ControlVms):
        vms.check_accepted_kept()
    fleet = getattr(context, "fleet", None)
    if isinstance(fleet, proxies.Proxies):
        fleet.check_installed()
    mesh = getattr(context, "mesh", None)
    if isinstance(mesh, calls.CallMesh):
        mesh.check_results()
