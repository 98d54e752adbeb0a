/*
 * daemon_snapshot.c
 * builds the view that the traffic threads serve: entries, status, metrics
 */
#include <libcometspindle/adapters/daemon/daemon_private.h>

#include <inttypes.h>
#include <json-c/json.h>
#include <libcometspindle/log.h>
#include <libcometspindle/node/node_status.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

static void
add_entry(struct json_object *array, const char *address, const char *zone)
{
	struct json_object *entry = json_object_new_object();

	json_object_object_add(entry, "address", json_object_new_string(address));
	json_object_object_add(entry, "zone", json_object_new_string(zone));
	json_object_array_add(array, entry);
}

/* Members of one zone, or of all others. */
static void
add_members(struct comet_daemon *daemon, struct json_object *array, bool same_zone)
{
	size_t count = 0;
	const struct comet_membership *all = comet_node_members(daemon->node);
	struct comet_member *const *members = comet_membership_all(all, &count);

	for (size_t i = 0; i < count; i++)
	{
		bool same = strcmp(members[i]->zone, daemon->settings->zone) == 0;
		if (same == same_zone && comet_membership_usable(all, members[i]))
			add_entry(array, members[i]->caller, members[i]->zone);
	}
}

static char *
entries_text(struct comet_daemon *daemon)
{
	const struct comet_bundle *bundle = comet_node_bundle(daemon->node);
	struct json_object *root = json_object_new_object();
	struct json_object *array = json_object_new_array();

	if (comet_node_not_ready(daemon->node) == NULL && daemon->caller_address != NULL)
		add_entry(array, daemon->caller_address, daemon->settings->zone);
	add_members(daemon, array, true);
	add_members(daemon, array, false);
	json_object_object_add(root, "valid_for_s",
		json_object_new_int64(bundle != NULL ? bundle->limits.entries_valid_s : 1));
	json_object_object_add(root, "entries", array);
	char *text = g_strdup(json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
	return text;
}

static void
counter(GString *text, const char *name, uint64_t value)
{
	g_string_append_printf(text, "# TYPE %s counter\n%s %" PRIu64 "\n", name, name, value);
}

static void
gauge(GString *text, const char *name, uint64_t value)
{
	g_string_append_printf(text, "# TYPE %s gauge\n%s %" PRIu64 "\n", name, name, value);
}

static void
add_refusals(GString *text, const struct comet_node_counts *counts)
{
	g_string_append(text, "# TYPE comet_refused_total counter\n");
	for (int i = 1; i <= COMET_REFUSAL_INTERNAL; i++)
	{
		if (counts->refused[i] > 0)
			g_string_append_printf(text,
				"comet_refused_total{code=\"%s\"} %" PRIu64 "\n",
				comet_refusal_name((enum comet_refusal)i), counts->refused[i]);
	}
}

static void
add_waiting(GString *text, struct comet_daemon *daemon)
{
	const struct comet_bundle *bundle = comet_node_bundle(daemon->node);
	uint32_t waiting[COMET_TIERS_MAX];

	comet_node_waiting(daemon->node, waiting);
	g_string_append(text, "# TYPE comet_waiting gauge\n");
	for (uint32_t i = 0; bundle != NULL && i < bundle->n_tiers; i++)
		g_string_append_printf(
			text, "comet_waiting{tier=\"%s\"} %u\n", bundle->tiers[i].name, waiting[i]);
}

/* What ru_maxrss says may be from before the program was started: read it from /proc. */
static uint64_t
resident_bytes(void)
{
	unsigned long pages = 0;
	FILE *file = fopen("/proc/self/statm", "re");

	if (file == NULL)
		return 0;
	if (fscanf(file, "%*s %lu", &pages) != 1)
		pages = 0;
	fclose(file);
	return pages * (uint64_t)sysconf(_SC_PAGESIZE);
}

static void
add_process(GString *text, struct comet_daemon *daemon)
{
	struct rusage usage;
	uint64_t sent = 0;
	uint64_t received = 0;
	uint64_t buffered = 0;
	uint32_t open = 0;

	for (uint32_t i = 0; i < daemon->n_workers; i++)
	{
		open += comet_worker_open_calls(daemon->worker[i]);
		buffered += comet_worker_buffered_bytes(daemon->worker[i]);
	}
	comet_peers_bytes(daemon->peers, &sent, &received);
	getrusage(RUSAGE_SELF, &usage);
	counter(text, "comet_peer_sent_bytes_total", sent);
	counter(text, "comet_peer_received_bytes_total", received);
	gauge(text, "comet_calls_open", open);
	gauge(text, "comet_buffered_bytes", buffered);
	gauge(text, "comet_resident_bytes", resident_bytes());
	counter(text, "comet_cpu_microseconds_total",
		(uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000 +
			(uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
	getrusage(RUSAGE_THREAD, &usage);
	counter(text, "comet_control_cpu_microseconds_total",
		(uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000 +
			(uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec));
}

static char *
metrics_text(struct comet_daemon *daemon)
{
	const struct comet_node_counts *counts = comet_node_counts(daemon->node);
	const struct comet_bundle *bundle = comet_node_bundle(daemon->node);
	GString *text = g_string_new(NULL);

	counter(text, "comet_submitted_total", counts->submitted);
	counter(text, "comet_dispatched_total", counts->dispatched);
	counter(text, "comet_served_total", counts->served);
	counter(text, "comet_failed_total", counts->failed);
	counter(text, "comet_retries_total", counts->retries);
	counter(text, "comet_items_sent_total", counts->items_sent);
	counter(text, "comet_packets_sent_total", counts->packets_sent);
	counter(text, "comet_role_changes_total", counts->role_changes);
	counter(text, "comet_pauses_total", counts->pauses);
	counter(text, "comet_violations_total", comet_violation_count());
	gauge(text, "comet_bundle_version", bundle != NULL ? bundle->version : 0);
	add_refusals(text, counts);
	add_waiting(text, daemon);
	add_process(text, daemon);
	return g_string_free(text, FALSE);
}

void
comet_daemon_publish(struct comet_daemon *daemon)
{
	struct comet_state_snapshot *view = g_new0(struct comet_state_snapshot, 1);
	struct comet_bundle *bundle = comet_node_bundle(daemon->node);
	const char *not_ready = comet_node_not_ready(daemon->node);

	view->bundle = bundle != NULL ? comet_bundle_ref(bundle) : NULL;
	view->entries = entries_text(daemon);
	view->status = comet_node_status(daemon->node);
	view->metrics = metrics_text(daemon);
	view->not_ready = not_ready != NULL ? g_strconcat(not_ready, "\n", NULL) : NULL;
	comet_state_snapshot_publish(daemon->snapshot_publisher, view);
}
