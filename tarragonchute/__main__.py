"""``python3 -m tarragonchute``: the gateway, or the operators' command line.

The gateway is started without the modules of the command line, because memory is
charged for on each VM.
"""

import sys

GATEWAY = "gateway"


def main():
    """Run what the arguments name and return the exit code."""
    if sys.argv[1:] == [GATEWAY]:
        from .platform.main import main as run_gateway

        return run_gateway()
    from .cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
