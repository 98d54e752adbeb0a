/*
 * latency_histogram.c
 * a histogram of times with fixed bounds, for metrics
 */
#include <libcometspindle/latency_histogram.h>

/* From a fast plain call to the longest deadlines, about two to each factor of five; the aims of
 * 150 to 1,000 ms lie between bounds. */
static const uint64_t bounds_ms[COMET_LATENCY_HISTOGRAM_BOUNDS] = {
	5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 8000, 15000};

void
comet_latency_histogram_add(struct comet_latency_histogram *latency, uint64_t us)
{
	size_t bucket = 0;

	while (bucket < COMET_LATENCY_HISTOGRAM_BOUNDS && us > bounds_ms[bucket] * 1000)
		bucket++;
	latency->counts[bucket]++;
	latency->sum_us += us;
}

void
comet_latency_histogram_print(const struct comet_latency_histogram *latency, GString *out,
	const char *name, const char *labels)
{
	const char *comma = labels[0] != '\0' ? "," : "";
	uint64_t sum = 0;

	for (size_t i = 0; i < COMET_LATENCY_HISTOGRAM_BOUNDS; i++)
	{
		sum += latency->counts[i];
		g_string_append_printf(out, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
			name, labels, comma, (double)bounds_ms[i] / 1000, sum);
	}
	sum += latency->counts[COMET_LATENCY_HISTOGRAM_BOUNDS];
	g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name,
		labels, comma, sum);
	g_string_append_printf(
		out, "%s_sum{%s} %g\n", name, labels, (double)latency->sum_us / 1000000);
	g_string_append_printf(out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", name, labels, sum);
}
