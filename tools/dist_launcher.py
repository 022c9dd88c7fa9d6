"""Entry code of the distribution file: unpacks it to a temporary folder.

Each process unpacks to a temporary folder of its own (below ``TMPDIR``, by default
/tmp, which is in memory on a VM without disks) and removes it on exit. A live process
holds a lock on its folder; the next start removes the folders without a lock holder,
whose processes were killed.
"""

import atexit
import contextlib
import fcntl
import os
import pathlib
import shutil
import tempfile

FOLDER_PREFIX = "tarragonchute-dist-"
LOCK_FILE_NAME = "lock"


def start():
    """Unpack the file and run the command line."""
    parent = pathlib.Path(tempfile.gettempdir())
    remove_stale_folders(parent)
    folder, lock_fd = create_folder(parent)
    atexit.register(remove_folder, folder, lock_fd)
    os.environ["SHIV_ROOT"] = str(folder)
    # The archive contains the compiled files; compiling here would start processes.
    os.environ["SHIV_COMPILE_PYC"] = "false"
    os.environ.pop("SHIV_FORCE_EXTRACT", None)
    import _bootstrap

    _bootstrap.bootstrap()


def create_folder(parent):
    """Create a folder that only this user can read.

    Parameters
    ----------
    parent : pathlib.Path

    Returns
    -------
    folder : pathlib.Path
    lock_fd : int
        File descriptor of the locked file in the folder.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=FOLDER_PREFIX, dir=parent))
    created = folder / f"new-{LOCK_FILE_NAME}"
    lock_fd = os.open(created, os.O_CREAT | os.O_RDWR, 0o600)
    fcntl.flock(lock_fd, fcntl.LOCK_EX)
    # The file gets its final name only once it is locked. Otherwise a concurrent start
    # could find it unlocked and remove the folder as stale.
    created.rename(folder / LOCK_FILE_NAME)
    return folder, lock_fd


def remove_folder(folder, lock_fd):
    """Remove the folder of this process and release its lock."""
    shutil.rmtree(folder, ignore_errors=True)
    os.close(lock_fd)


def remove_stale_folders(parent):
    """Remove this user's folders whose process has ended."""
    for folder in parent.glob(f"{FOLDER_PREFIX}*"):
        # Keeps a folder that has no lock file yet, since it may be just being created.
        with contextlib.suppress(OSError):
            if folder.lstat().st_uid == os.getuid():
                _remove_if_unlocked(folder)


def _remove_if_unlocked(folder):
    lock_fd = os.open(folder / LOCK_FILE_NAME, os.O_RDWR | os.O_NOFOLLOW)
    try:
        fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        shutil.rmtree(folder, ignore_errors=True)
    finally:
        os.close(lock_fd)
