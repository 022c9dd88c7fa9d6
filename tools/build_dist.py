"""Build dist/tarragonchute, a single file that needs nothing but Python 3.11 to run.

The runtime libraries are copied from the environment that runs this tool, into which
``make`` installs the locked requirements. The build itself therefore needs no network.
"""

import argparse
import compileall
import datetime
import importlib.metadata
import pathlib
import py_compile
import shutil
import subprocess
import sys
import tempfile
import time
import zipfile

from packaging.requirements import Requirement
from shiv import __version__ as shiv_version, builder
from shiv.bootstrap.environment import Environment
from shiv.constants import BUILD_AT_TIMESTAMP_FORMAT

ROOT = pathlib.Path(__file__).resolve().parent.parent
OUTPUT = ROOT / "dist" / "tarragonchute"
LAUNCHER = ROOT / "tools" / "dist_launcher.py"
PACKAGE = "tarragonchute"
INTERPRETER = "/usr/bin/env python3.11"
ENTRY_POINT = "tarragonchute.__main__:main"

BUILD_TIME = datetime.datetime(1980, 1, 1)
"""Timestamp of all zip entries, the earliest of the format, for reproducible builds."""

SKIPPED_SUFFIXES = {".pyc", ".pyx", ".pxd", ".h", ".cpp", ".tmpl"}
"""Files needed only to compile extensions, and bytecode of the build environment."""

SKIPPED_FOLDERS = {"_tests", "tests"}
"""Left out because unpacking dominates the start time and grows with the file count."""

START_TIME_RUNS = 5

COMMANDS = (
    ("run",),
    ("gateway",),
    ("settings", "check"),
    ("settings", "show"),
    ("settings", "propose"),
    ("settings", "load"),
    ("domain", "out"),
    ("domain", "in"),
    ("audit",),
    ("status",),
    ("explain",),
    ("members", "remove"),
    ("search",),
    ("book",),
)

IMPORT_CHECK = """
import importlib, pathlib, pkgutil, sys, tarragonchute
folder = pathlib.Path(tarragonchute.__file__).parent
assert "tarragonchute-dist-" in str(folder), folder
for module in pkgutil.walk_packages([str(folder)], "tarragonchute."):
    if not module.name.endswith("__main__"):
        importlib.import_module(module.name)
import capnp, orjson, trio
for module in (capnp, orjson, trio):
    assert "tarragonchute-dist-" in module.__file__, module.__file__
status = pathlib.Path("/proc/self/status").read_text()
print(next(line for line in status.splitlines() if line.startswith("VmRSS")))
"""


def list_requirements(name=PACKAGE):
    """Return the sorted names of a package's direct and indirect requirements."""
    found, queue = [], [name]
    while queue:
        for text in importlib.metadata.requires(queue.pop()) or ():
            requirement = Requirement(text)
            marker = requirement.marker
            if marker is not None and not marker.evaluate({"extra": ""}):
                continue
            if requirement.name not in found:
                found.append(requirement.name)
                queue.append(requirement.name)
    return sorted(found)


def copy_libraries(target):
    """Copy the files of the runtime libraries to a folder."""
    for name in list_requirements():
        for file in importlib.metadata.distribution(name).files:
            if _is_needed_at_run_time(file):
                destination = target / file
                destination.parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(file.locate(), destination)


def _is_needed_at_run_time(file):
    # Scripts are installed outside the library folder.
    is_inside = ".." not in file.parts
    is_skipped = file.suffix in SKIPPED_SUFFIXES or SKIPPED_FOLDERS & set(file.parts)
    return is_inside and not is_skipped


def copy_package(target):
    """Copy this project's package to a folder."""
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, target / PACKAGE, ignore=ignore)


def build(output=OUTPUT):
    """Write the distribution file.

    Parameters
    ----------
    output : pathlib.Path
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        stage = pathlib.Path(folder)
        copy_libraries(stage)
        copy_package(stage)
        builder.create_archive(
            [stage],
            output,
            interpreter=INTERPRETER,
            main="_launch:start",
            env=_build_environment(),
            compressed=True,
        )
        _append_compiled(stage, output)


def _build_environment():
    return Environment(
        built_at=BUILD_TIME.strftime(BUILD_AT_TIMESTAMP_FORMAT),
        shiv_version=shiv_version,
        entry_point=ENTRY_POINT,
        compile_pyc=False,
        reproducible=True,
    )


def _append_compiled(stage, output):
    """Add the launcher and the compiled modules, which shiv does not include."""
    compileall.compile_dir(
        stage,
        quiet=2,
        stripdir=str(stage),
        # Unpacking changes the sources' timestamps, so they are not checked.
        invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
    )
    with zipfile.ZipFile(output, "a", zipfile.ZIP_DEFLATED) as archive:
        _append_file(archive, LAUNCHER, "_launch.py")
        for path in sorted(stage.rglob("*.pyc")):
            _append_file(archive, path, f"site-packages/{path.relative_to(stage)}")


def _append_file(archive, path, name):
    info = zipfile.ZipInfo(name, date_time=BUILD_TIME.timetuple()[:6])
    info.compress_type = zipfile.ZIP_DEFLATED
    info.external_attr = 0o100644 << 16
    archive.writestr(info, path.read_bytes())


def check(output=OUTPUT):
    """Run each command of the file and import each module from it.

    Returns
    -------
    str
        Resident memory of a process that has imported all modules.

    Raises
    ------
    AssertionError, subprocess.CalledProcessError
    """
    for command in COMMANDS:
        text = _run(output, *command, "--help")
        assert f"example:\n  tarragonchute {' '.join(command)}" in text, text
    for example in sorted((ROOT / "examples").iterdir()):
        _run(output, "settings", "check", str(example))
    memory = _run(output, "-c", IMPORT_CHECK, SHIV_INTERPRETER="1")
    return " ".join(memory.split())


def measure_start_time(output=OUTPUT):
    """Return the shortest and longest run time of ``--version``, in seconds."""
    times = []
    for _ in range(START_TIME_RUNS):
        started = time.monotonic()
        _run(output, "--version")
        times.append(time.monotonic() - started)
    return min(times), max(times)


def _run(output, *arguments, **variables):
    """Run the file with only the given environment variables; return its output.

    Asserts that the process leaves no file in its temporary folder.
    """
    with tempfile.TemporaryDirectory() as folder:
        process = subprocess.run(
            [sys.executable, "-I", str(output), *arguments],
            env={"TMPDIR": folder, **variables},
            cwd=folder if variables else ROOT,
            check=True,
            capture_output=True,
            text=True,
        )
        leftover_files = list(pathlib.Path(folder).iterdir())
        assert not leftover_files, leftover_files
    return process.stdout


def main():
    """Build and check the file, print its size and start time; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--output", type=pathlib.Path, default=OUTPUT)
    output = parser.parse_args().output.resolve()
    build(output)
    memory = check(output)
    shortest, longest = measure_start_time(output)
    print(f"{output.name}: {output.stat().st_size / 1e6:.1f} MB")
    print(f"start: {shortest:.2f} to {longest:.2f} s in {START_TIME_RUNS} runs")
    print(f"with every module loaded: {memory}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
