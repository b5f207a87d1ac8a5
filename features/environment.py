"""Checks that hold in every scenario, whatever happens in it."""

from typing import Any

from features.support import calls
from features.support import control_vms
from features.support import proxies


def after_scenario(context: Any, scenario: Any) -> None:
    """Fails a scenario that broke a promise on its way."""
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
