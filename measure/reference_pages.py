"""Write the reference pages from the packages' docstrings."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil

import limpetpulley

PAGES = pathlib.Path("docs/reference")
LEFT_OUT = ("tests", "_pb2", "_grpc", "__main__")


def summary(value: object) -> str:
    """Return the first line of a docstring."""
    text = inspect.getdoc(value) or ""
    return text.splitlines()[0] if text else ""


def page_of(package: str) -> str:
    """Return the page of a package."""
    top = importlib.import_module(package)
    lines = [f"# {package}", "", summary(top), ""]
    for found in pkgutil.iter_modules(top.__path__, package + "."):
        if any(part in found.name for part in LEFT_OUT) or found.ispkg:
            continue
        module = importlib.import_module(found.name)
        lines += [f"## {found.name}", "", summary(module), ""]
        for name in getattr(module, "__all__", ()):
            value = getattr(module, name)
            if inspect.isclass(value) or inspect.isfunction(value):
                lines += [f"- `{name}`: {summary(value)}"]
                if inspect.isclass(value):
                    for method, function in vars(value).items():
                        if not method.startswith("_") and inspect.isfunction(function):
                            lines.append(f"  - `{method}`: {summary(function)}")
        lines.append("")
    return "\n".join(lines)


def main() -> None:
    """Write all pages and their index."""
    index = [
        "# Reference",
        "",
        "Made from the docstrings by `python -m measure.reference_pages`.",
        "",
    ]
    for found in pkgutil.iter_modules(limpetpulley.__path__):
        if found.ispkg and found.name not in ("tests", "demo"):
            package = f"limpetpulley.{found.name}"
            (PAGES / f"{found.name}.md").write_text(page_of(package))
            index.append(
                f"- [{package}]({found.name}.md): {summary(importlib.import_module(package))}"
            )
    (PAGES / "README.md").write_text("\n".join(index) + "\n")


if __name__ == "__main__":
    main()
