"""Tests of the metrics of a VM."""

import testtools

from tarragonchute.metrics import FIRST, HEDGE, METRIC_SPECS, RETRY, Metrics


class MetricsTests(testtools.TestCase):
    """Metrics in the Prometheus text format."""

    def render(self, metrics):
        """Return the rendered lines."""
        body, content_type = metrics.render_metrics()
        self.assertStartsWith(content_type, "text/plain; version=0.0.4")
        return body.decode().splitlines()

    def assertStartsWith(self, text, prefix):
        """Fail unless the text starts with the prefix."""
        self.assertEqual(prefix, text[: len(prefix)])

    def test_histograms_are_cumulative(self):
        """Guards against wrong quantiles.

        Buckets have to be cumulative, and a value equal to a bound counts below it.
        """
        metrics = Metrics()
        for seconds in (0.004, 0.15, 9.0):
            metrics.observe_search("a", seconds, "ok", answered=19, total=20)
        lines = self.render(metrics)
        prefix = 'tarragonchute_search_duration_seconds_bucket{code="ok",'
        for bound, count in (("0.005", 1), ("0.125", 1), ("0.15", 2), ("+Inf", 3)):
            line = f'{prefix}le="{bound}",team="a"}} {count}.0'
            self.assertIn(line, [self.sort_labels(one) for one in lines])
        coverage = 'tarragonchute_search_coverage_ratio_bucket{le="0.95",team="a"} 3.0'
        self.assertIn(coverage, [self.sort_labels(one) for one in lines])

    def sort_labels(self, line):
        """Return the line with its labels in alphabetical order."""
        name, brace, rest = line.partition("{")
        labels, _, value = rest.partition("}")
        return f"{name}{{{','.join(sorted(labels.split(',')))}}}{value}"

    def test_counters_and_gauges(self):
        """Guards against a wrong extra load ratio and gauges that are never sampled."""

        def fill_gauges(values):
            values.settings_versions["team/a"] = 7
            values.lease_remaining_s = 1.5

        metrics = Metrics(fill_gauges)
        metrics.count_attempts(FIRST, 100)
        metrics.count_attempts(HEDGE, 3)
        metrics.count_attempts(RETRY)
        metrics.count_refusal('bad"code\n')
        lines = self.render(metrics)
        for line in (
            "tarragonchute_extra_load_ratio 0.04",
            'tarragonchute_shard_attempts_total{kind="hedge"} 3',
            'tarragonchute_settings_version{subtree="team/a"} 7',
            "tarragonchute_lease_remaining_seconds 1.5",
            'tarragonchute_refusals_total{code="bad\\"code\\n"} 1',
        ):
            self.assertIn(line, lines)

    def test_rendering_twice_gives_the_same_counts(self):
        """Guards against a scrape that adds the same counts again."""
        metrics = Metrics()
        metrics.count_target_request("north", "ok")
        metrics.observe_booking("a", 0.1, "ok")
        first, second = self.render(metrics), self.render(metrics)
        keep = [line for line in first if "cpu" not in line and "memory" not in line]
        self.assertEqual([], [line for line in keep if line not in second])

    def test_every_metric_has_its_type(self):
        """Guards against metrics that are absent until they are first recorded."""
        lines = self.render(Metrics())
        for spec in METRIC_SPECS:
            self.assertIn(f"# TYPE {spec.name} {spec.kind}", lines)
