"""Entry point of ``python3 -m tarragonchute``: the gateway or the command line.

The gateway starts without importing the modules of the command line, because every
VM is billed for its memory.
"""

import signal
import sys

GATEWAY_COMMAND = "gateway"


def main():
    """Run the command that the arguments name and return its exit code."""
    if sys.argv[1:] == [GATEWAY_COMMAND]:
        # Until the handler is installed, SIGHUP would end the process. The settings
        # file is read later than this, so no change is missed.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from .platform.main import main as run_gateway

        return run_gateway()
    from .cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
