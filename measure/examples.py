"""Write the two sample deployments as example configurations."""

from __future__ import annotations

import pathlib

from limpetpulley.config import check_objects, dump_document

from .deployments import DEPLOYMENTS


def main() -> None:
    """Write one configuration document for each deployment."""
    for name, deployment in DEPLOYMENTS.items():
        objects = deployment.objects()
        check_objects(objects)
        pathlib.Path(f"docs/examples/{name}.json").write_text(dump_document(objects))


if __name__ == "__main__":
    main()
