/*
 * gateway_private.h
 * what the gateway's files share
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_PRIVATE_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_PRIVATE_H

#include <libcometspindle/adapters/endpoints/fetch.h>
#include <libcometspindle/adapters/callers/http_server.h>
#include <libcometspindle/adapters/gateway/gateway.h>
#include <libcometspindle/adapters/peers/datagram_socket.h>
#include <libcometspindle/random.h>
#include <libcometspindle/gateway/admission/quota_requests.h>
#include <libcometspindle/gateway/directory.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>
#include <libcometspindle/gateway/endpoints/evacuations.h>
#include <libcometspindle/gateway/placement/grants.h>
#include <libcometspindle/gateway/endpoints/incarnations.h>
#include <libcometspindle/gateway/placement/placement.h>
#include <libcometspindle/gateway/fleet/reader_election.h>
#include <libcometspindle/gateway/fleet/gossip.h>
#include <libcometspindle/latency_histogram.h>
#include <libcometspindle/counter_set.h>

/** Counts of how requests ended; monotonic. */
struct comet_gateway_counts
{
	uint64_t admitted;
	uint64_t dispatched;
	uint64_t repeated;
	uint64_t resumed;
	uint64_t granted;           /**< slots by other VMs */
	uint64_t grants_evacuated;  /**< slots by other VMs that were given back: evacuated since */
	uint64_t denied;            /**< asks for slots */
	uint64_t waited;            /**< asks for slots that waited at a keeper in vain */
	uint64_t unanswered;        /**< asks for slots */
	uint64_t answered;          /**< asks of other VMs, by this one as keeper */
	uint64_t charges_asked;     /**< of other VMs that keep accounts */
	uint64_t charges_undecided; /**< of them, those that were not answered or not known */
	uint64_t charges_answered;  /**< for other VMs, by this one as keeper */
	uint64_t served;
	uint64_t relayed_errors;
	uint64_t refused_early;    /**< not run, told when to come back */
	uint64_t refused_team;     /**< over the team's limit */
	uint64_t refused_crashing; /**< for good: it crashes endpoints */
	uint64_t refused_other;
	uint64_t failed; /**< may have run */
	uint64_t cut;    /**< an answer that could not be completed */
	uint64_t left;   /**< the caller left */
	uint64_t directory_calls[COMET_DIRECTORY_CALLS]; /**< by their ends */
	uint64_t directory_losses;                       /**< times at which it stopped answering */
	uint64_t unreadable;                             /**< items of the directory */
};

/** What a VM's link is used for, beside datagrams. */
enum comet_gateway_use
{
	COMET_GATEWAY_USE_CALLERS,
	COMET_GATEWAY_USE_ENDPOINTS,
	COMET_GATEWAY_USE_DIRECTORY, /**< read from it */
	COMET_GATEWAY_USE_PEERS,     /**< what VMs hand on of it, and metrics */
};

#define COMET_GATEWAY_USES (COMET_GATEWAY_USE_PEERS + 1)

/** Times of answers, by kind of route. */
struct comet_gateway_times
{
	struct comet_latency_histogram first;  /**< from the request's first byte to its answer's */
	struct comet_latency_histogram whole;  /**< to the end of the answer */
	struct comet_latency_histogram waited; /**< until it was sent to an endpoint */
};

#define COMET_ROUTE_KINDS (COMET_ROUTE_STREAM + 1)

struct comet_gateway
{
	const struct comet_gateway_settings *settings;
	const char *settings_path;
	const struct comet_header_names *names;
	struct tevent_context *ev;
	struct comet_timers *timers;
	struct comet_upstream *upstream;
	struct comet_http_server *callers;
	struct comet_http_server *readiness;
	struct comet_http_server *control;
	struct comet_directory *directory;
	struct comet_instances *instances;
	struct comet_incarnations *lives;
	struct comet_evacuations *evacuations;
	struct comet_placement *placement;
	struct comet_rate_limiter *rate_limiter;
	struct comet_retry_budget *retries;
	struct comet_crash_tracker *crash_tracker;
	struct comet_gossip *gossip;
	struct comet_grants *grants;
	struct comet_timer *grants_timer; /**< looks at open asks; NULL: there is none */
	struct comet_quota_requests *charges;
	struct comet_timer *quota_timer; /**< looks at open charges; NULL: there is none */
	struct comet_reader_election *reader_election;
	enum comet_directory_mode reading; /**< whether this VM reads the directory itself */
	uint64_t reported_us;              /**< when it last told news; 0: never */
	struct comet_datagram_socket *link;
	struct comet_route_table *table; /**< NULL until one has been read */
	struct comet_gateway_counts counts;
	struct comet_byte_counters bytes[COMET_GATEWAY_USES];
	struct comet_latency_histogram
		routes_lag;             /**< from the news of a document until it is in force */
	struct comet_counter_set *ends; /**< of requests, by what became of them, kind and rank */
	struct comet_gateway_times times[COMET_ROUTE_KINDS];
	uint32_t calls;         /**< requests that are open */
	GQueue relays;          /**< of struct comet_proxy_request: the same, as they are */
	GList *crash_checks;    /**< at endpoints that may have crashed (gateway_crashes.c) */
	bool newly_quarantined; /**< a request was barred: some may wait here */
	GQueue active_attempts; /**< of struct comet_proxy_request: those that are at an endpoint */
	struct comet_random draw;
	uint64_t began_us;
	bool discovering;           /**< it still finds out who else is there */
	uint64_t discovered_us;     /**< when another VM was last heard of for the first time */
	uint32_t peak_alive_vms;    /**< most VMs heard at a time, with this one */
	uint64_t stop_us;           /**< when the stop began; 0: none */
	uint64_t last_loop_us;      /**< when the loop had last waited */
	uint64_t suspended_us;      /**< for how long the VM was suspended, as last looked */
	uint64_t pause_detected_us; /**< when the process was last found to have been away; 0: never
				     */
	struct comet_fetch *resyncing;         /**< request of a snapshot or delta */
	struct comet_fetch *fetching_document; /**< request of the routing document */
	uint64_t answered_us;         /**< when the directory last answered a call; 0: never */
	uint64_t stale_us;            /**< since when a peer is ahead; 0: none is */
	uint64_t document_missing_us; /**< since when a document is missing; 0: none is */
	uint64_t document_failed_us;  /**< last failed request of the document; 0: none */
	uint64_t restarted_for;       /**< newest position for which the watch was restarted */
	uint64_t position;            /**< in the directory, up to which everything is complete */
	uint64_t endpoints_position;  /**< the same of endpoints */
	uint64_t lost_us;             /**< when the directory was last lost */
	bool directory_lost;          /**< its last answer failed */
	bool listed;                  /**< the endpoints have been told once */
	bool refusing;                /**< a stop has come so far that nothing new is begun */
	bool over;
};

/** Handles a request of a caller (gateway_relay.c). */
extern const struct comet_http_server_events comet_gateway_caller_events;

/** What the directory tells (gateway_directory.c). */
extern const struct comet_directory_events comet_gateway_directory_events;

/** Logs the end of an evacuation (gateway_directory.c). */
void
comet_gateway_zone_restored(void *ctx, const char *zone);

/** Looks what time alone has brought about at endpoints (gateway_directory.c). */
void
comet_gateway_tick_endpoints(struct comet_gateway *gateway, uint64_t now_us);

/** What placement asks for (gateway_send.c). */
extern const struct comet_placement_ops comet_gateway_placement_ops;

/** Slots asked for at other VMs, for placement's operations (gateway_grants.c). */
enum comet_placement_owner
comet_gateway_find_shard_owner(void *ctx, struct comet_shard *shard);

void
comet_gateway_request_slot(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
	const struct comet_slot_request *ask);

void
comet_gateway_cancel_slot_request(void *ctx, struct comet_placement_item *item);

void
comet_gateway_grant_slot(
	void *ctx, const struct comet_slot_request *ask, struct comet_instance *instance);

extern const struct comet_grants_ops comet_gateway_grants_ops;

/** Charges of requests to teams, here and at other VMs (gateway_charges.c). */
extern const struct comet_quota_requests_ops comet_gateway_quota_ops;

/** Answers on the readiness and control addresses (gateway_pages.c). */
extern const struct comet_http_server_events comet_gateway_readiness_events;
extern const struct comet_http_server_events comet_gateway_control_events;

/** Path of a snapshot of the directory on a VM's control address. */
#define COMET_GATEWAY_SNAPSHOT_PATH "/v1/directory"

/** Followed by a position: the delta after it. */
#define COMET_GATEWAY_DELTA_PATH COMET_GATEWAY_SNAPSHOT_PATH "?after="

/** Followed by a position: the delta of endpoints after it. */
#define COMET_GATEWAY_ENDPOINTS_PATH COMET_GATEWAY_SNAPSHOT_PATH "/endpoints?after="

/** Followed by the directory's query: the routing document. */
#define COMET_GATEWAY_DOCUMENT_PATH COMET_GATEWAY_SNAPSHOT_PATH "/document?"

/** Requests a delta of endpoints from a peer, unless a request is under way (gateway_resync.c). */
void
comet_gateway_request_endpoints(struct comet_gateway *gateway, uint32_t vm);

/** Fetches a routing document that was reported: from a reader, or else from the directory. */
void
comet_gateway_fetch_document(struct comet_gateway *gateway, uint64_t now_us);

/** Decides whether this VM reads the directory, and reports to followers (gateway_readers.c). */
void
comet_gateway_tick_reader_election(struct comet_gateway *gateway, uint64_t now_us);

/** Reports this VM's position to its followers. */
void
comet_gateway_report_position(struct comet_gateway *gateway, uint64_t now_us);

/** Takes the report of a reader. */
void
comet_gateway_handle_report(struct comet_gateway *gateway, const comet_News *news, uint64_t now_us);

/** Restarts the watch, or resyncs from a peer, after peers have been ahead for a while
 * (gateway_resync.c). */
void
comet_gateway_resync(struct comet_gateway *gateway, uint64_t now_us);

/** NULL when this VM takes requests, else why not (gateway_pages.c). */
const char *
comet_gateway_not_ready(const struct comet_gateway *gateway);

/** Answers with all metrics (gateway_metrics.c). */
void
comet_gateway_respond_metrics(
	struct comet_gateway *gateway, struct comet_http_server_request *request);

#endif
