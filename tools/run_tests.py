"""Run all tests, or the named ones, and print the counts that CI reads.

A failure of a test that KNOWN-RED.txt lists is printed, but does not fail the run.
"""

import argparse
import logging
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
SLOW_TEST_S = 2.0


def read_known_red(path=KNOWN_RED_FILE):
    """Return the ids of the tests that are known to fail.

    Parameters
    ----------
    path : pathlib.Path
        Each line that starts with ``test:`` holds one test id. The file may be missing.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


class CountingResult(unittest.TextTestResult):
    """Records the passed tests and the slow tests.

    Attributes
    ----------
    passed : list of unittest.TestCase
    slow : list of (float, str)
        Duration in seconds and id of each test above `SLOW_TEST_S`.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.passed = []
        self.slow = []
        self._started_at = 0.0

    def startTest(self, test):
        """Record the start time of a test."""
        super().startTest(test)
        self._started_at = time.monotonic()

    def stopTest(self, test):
        """Record a slow test."""
        super().stopTest(test)
        duration = time.monotonic() - self._started_at
        if duration > SLOW_TEST_S:
            self.slow.append((duration, test.id()))

    def addSuccess(self, test):
        """Record a passed test."""
        super().addSuccess(test)
        self.passed.append(test)


def list_failed(result):
    """Return the sorted ids of the failed tests, without duplicates.

    An unexpected success counts as a failure.
    """
    failed = [test.id() for test, _ in result.failures + result.errors]
    failed += [test.id() for test in result.unexpectedSuccesses]
    return sorted(set(failed))


def main():
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="e.g. tests.test_wire")
    parser.add_argument("-v", "--verbose", action="store_true")
    arguments = parser.parse_args()
    # Without a handler, log lines of injected faults would obscure the report of a
    # failing test.
    logging.getLogger().addHandler(logging.NullHandler())
    loader = unittest.TestLoader()
    if arguments.names:
        suite = loader.loadTestsFromNames(arguments.names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(
        stream=sys.stdout,
        resultclass=CountingResult,
        verbosity=2 if arguments.verbose else 1,
    )
    result = runner.run(suite)
    return print_summary(result)


def print_summary(result):
    """Print the slow and failed tests and the counts; return the exit code."""
    known_red = read_known_red()
    failed = list_failed(result)
    for duration, name in sorted(result.slow, reverse=True):
        print(f"slow: {duration:.1f} s {name}")
    for name in failed:
        label = "known red" if name in known_red else "failed"
        print(f"{label}: {name}")
    for test in result.passed:
        if test.id() in known_red:
            print(f"known red but passed: {test.id()}")
    unexpected = [name for name in failed if name not in known_red]
    print(f"{len(result.passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not result.passed else 0


if __name__ == "__main__":
    sys.exit(main())
