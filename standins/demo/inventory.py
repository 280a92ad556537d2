"""VMs and certificates of a site on loopback."""

import pathlib
from typing import Any

import trustme

from standins.demo import process
from wigeonhitch.configuration import document

__all__ = ["list_machines", "make_certificates"]

VMS_PER_RACK = 4


def make_certificates(folder: pathlib.Path) -> dict[str, str]:
    """Write a certificate authority and a certificate it signed; return their paths."""
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    paths = {
        name: folder / f"{name}.pem" for name in ("certificate", "key", "authority")
    }
    certificate.private_key_and_cert_chain_pem.write_to_path(paths["certificate"])
    certificate.private_key_pem.write_to_path(paths["key"])
    authority.cert_pem.write_to_path(paths["authority"])
    return {name: str(path) for name, path in paths.items()}


def list_machines(
    intended: document.Document, spare_vms: int, ports: process.Ports
) -> list[dict[str, Any]]:
    """Return the VMs of all pools and spare VMs, in racks over data centres."""
    kinds = [pool.kind for pool in intended.pools for _ in range(pool.size)]
    kinds += [intended.kinds[0].name] * spare_vms
    data_centres = intended.data_centres
    machines = []
    for index, (kind, port) in enumerate(
        zip(kinds, ports.allocate(len(kinds)), strict=True)
    ):
        rack = index // VMS_PER_RACK
        machines.append(
            {
                "vm": f"worker-{index + 1:03}",
                "kind": kind,
                "address": f"127.0.0.1:{port}",
                "rack": f"rack-{rack + 1:02}",
                "data_centre": data_centres[rack % len(data_centres)].name,
            }
        )
    return machines
