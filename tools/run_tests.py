"""Run every test and print the counts that CI reads.

A test listed in KNOWN-RED.txt runs and is printed, but does not fail the run.
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
        Lines that start with ``test:`` name one test id each.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


class CountingResult(unittest.TextTestResult):
    """Keeps which tests passed, and how long each took."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.passed = []
        self.slow = []
        self._started_at = 0.0

    def startTest(self, test):
        """Note the start time."""
        super().startTest(test)
        self._started_at = time.monotonic()

    def stopTest(self, test):
        """Note a test that took long."""
        super().stopTest(test)
        duration = time.monotonic() - self._started_at
        if duration > SLOW_TEST_S:
            self.slow.append((duration, test.id()))

    def addSuccess(self, test):
        """Count a test that passed."""
        super().addSuccess(test)
        self.passed.append(test)


def list_failed(result):
    """Return the ids of the tests that failed, each once."""
    failed = [test.id() for test, _ in result.failures + result.errors]
    failed += [test.id() for test in result.unexpectedSuccesses]
    return sorted(set(failed))


def main():
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="e.g. tests.test_wire")
    parser.add_argument("-v", "--verbose", action="store_true")
    arguments = parser.parse_args()
    # Log lines of provoked faults would hide the report of a failing test.
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
    """Print the slow, known red and counted tests; return the exit code."""
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
