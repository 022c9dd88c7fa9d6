"""First code of the shipped file: choose where it unpacks, and clean up.

Each process unpacks into a temporary folder of its own (``TMPDIR``, by default /tmp,
which is memory on a VM without disks) and removes it at its end. A folder whose
process was killed is removed by the next start: a live process holds a lock on it.
"""

import atexit
import contextlib
import fcntl
import os
import pathlib
import shutil
import tempfile

PREFIX = "tarragonchute-dist-"
LOCK_NAME = "lock"


def start():
    """Unpack and run the command line."""
    parent = pathlib.Path(tempfile.gettempdir())
    remove_stale_folders(parent)
    folder, lock = create_folder(parent)
    atexit.register(remove_folder, folder, lock)
    os.environ["SHIV_ROOT"] = str(folder)
    # Compiled files are in the archive; compiling here would start processes.
    os.environ["SHIV_COMPILE_PYC"] = "false"
    os.environ.pop("SHIV_FORCE_EXTRACT", None)
    import _bootstrap

    _bootstrap.bootstrap()


def create_folder(parent):
    """Return a new folder that only this user can read, and its lock."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=PREFIX, dir=parent))
    created = folder / f"new-{LOCK_NAME}"
    lock = os.open(created, os.O_CREAT | os.O_RDWR, 0o600)
    fcntl.flock(lock, fcntl.LOCK_EX)
    # Renamed when locked, or another start could take the folder for a stale one.
    created.rename(folder / LOCK_NAME)
    return folder, lock


def remove_folder(folder, lock):
    """Remove the folder of this process."""
    shutil.rmtree(folder, ignore_errors=True)
    os.close(lock)


def remove_stale_folders(parent):
    """Remove this user's folders whose process has ended."""
    for folder in parent.glob(f"{PREFIX}*"):
        # A folder without a lock file may be one that is being created.
        with contextlib.suppress(OSError):
            if folder.lstat().st_uid == os.getuid():
                _remove_if_unlocked(folder)


def _remove_if_unlocked(folder):
    lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_NOFOLLOW)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        shutil.rmtree(folder, ignore_errors=True)
    finally:
        os.close(lock)
