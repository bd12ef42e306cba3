"""Generate the reference pages from the docstrings of the packages."""

from __future__ import annotations

import importlib
import inspect
import pathlib
import pkgutil

import limpetpulley

PAGES = pathlib.Path("docs/reference")
EXCLUDED_MODULES = ("tests", "_pb2", "_grpc", "__main__")


def summary(value: object) -> str:
    """Return the first line of a docstring."""
    text = inspect.getdoc(value) or ""
    return text.splitlines()[0] if text else ""


def package_page(package: str) -> str:
    """Return the reference page of a package."""
    root = importlib.import_module(package)
    lines = [f"# {package}", "", summary(root), ""]
    for info in pkgutil.iter_modules(root.__path__, package + "."):
        if any(part in info.name for part in EXCLUDED_MODULES) or info.ispkg:
            continue
        module = importlib.import_module(info.name)
        lines += [f"## {info.name}", "", summary(module), ""]
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
    """Write the pages of all packages and their index."""
    index = [
        "# Reference",
        "",
        "Generated from the docstrings by `python -m measure.reference_pages`.",
        "",
    ]
    for info in pkgutil.iter_modules(limpetpulley.__path__):
        if info.ispkg and info.name not in ("tests", "demo"):
            package = f"limpetpulley.{info.name}"
            (PAGES / f"{info.name}.md").write_text(package_page(package))
            index.append(
                f"- [{package}]({info.name}.md): {summary(importlib.import_module(package))}"
            )
    (PAGES / "README.md").write_text("\n".join(index) + "\n")


if __name__ == "__main__":
    main()
