/*
 * gateway_private.h
 * shared state and functions of the gateway's source files
 */
#ifndef COMETSPINDLE_ADAPTERS_GATEWAY_PRIVATE_H
#define COMETSPINDLE_ADAPTERS_GATEWAY_PRIVATE_H

#include <libcometspindle/adapters/gateway/resync_cache.h>
#include <libcometspindle/adapters/endpoints/fetch.h>
#include <libcometspindle/adapters/callers/http_server.h>
#include <libcometspindle/adapters/gateway/gateway.h>
#include <libcometspindle/adapters/peers/datagram_socket.h>
#include <libcometspindle/random.h>
#include <libcometspindle/gateway/admission/caller_budget.h>
#include <libcometspindle/gateway/admission/link_share.h>
#include <libcometspindle/gateway/admission/quota_requests.h>
#include <libcometspindle/gateway/directory.h>
#include <libcometspindle/gateway/admission/crash_tracker.h>
#include <libcometspindle/gateway/endpoints/evacuations.h>
#include <libcometspindle/gateway/placement/grants.h>
#include <libcometspindle/gateway/endpoints/incarnations.h>
#include <libcometspindle/gateway/placement/placement.h>
#include <libcometspindle/gateway/fleet/reader_election.h>
#include <libcometspindle/gateway/fleet/discovery.h>
#include <libcometspindle/gateway/fleet/gossip.h>
#include <libcometspindle/latency_histogram.h>
#include <libcometspindle/counter_set.h>

/** Monotonic counters of requests, slot requests, quota requests and directory calls. */
struct comet_gateway_counts
{
	uint64_t admitted;
	uint64_t dispatched;
	uint64_t retried;
	uint64_t resumed;
	uint64_t replacements_requested;  /**< for silent attempts of started responses */
	uint64_t replaced;                /**< of these: the next attempt was sent, or the silent
					       one ended before */
	uint64_t replacements_cancelled;  /**< of these: the attempt went on */
	uint64_t peer_attempts;           /**< attempts through other VMs */
	uint64_t granted;                 /**< slots granted by other VMs */
	uint64_t grants_evacuated;        /**< slots granted by other VMs and returned, since the
					      zone was evacuated */
	uint64_t denied;                  /**< slot requests that were denied */
	uint64_t stream_versions_known;   /**< resumed streams whose version was found */
	uint64_t stream_versions_unknown; /**< resumed streams that were refused or cut off */
	uint64_t samples_sent;            /**< samples of unfinished streams, sent to owners */
	uint64_t samples_received;        /**< samples of unfinished streams of other VMs */
	uint64_t slowdowns_stated;        /**< responses that stated another speed than the usual */
	uint64_t slowdowns_ignored;       /**< statements out of bounds */
	uint64_t slot_waits_expired; /**< slot requests that waited at the owner without a grant */
	uint64_t slot_requests_unanswered; /**< slot requests without an answer */
	uint64_t slot_requests_answered;   /**< slot requests of other VMs, answered as owner */
	uint64_t quota_requests_sent;      /**< quota requests to their owners */
	uint64_t quota_requests_failed;    /**< quota requests without a decision */
	uint64_t quota_requests_answered;  /**< quota requests of other VMs, answered as owner */
	uint64_t served;
	uint64_t relayed_errors;
	uint64_t refused_early;       /**< not run, with a time to retry after */
	uint64_t refused_team;        /**< over the team's limit */
	uint64_t refused_quarantined; /**< quarantined, because they crash endpoints */
	uint64_t refused_parts;       /**< with a quarantined part in their prompts */
	uint64_t refused_other;
	uint64_t failed;               /**< may have run, without a complete response */
	uint64_t aborted;              /**< the response could not be completed */
	uint64_t callers_disconnected; /**< the caller disconnected */
	uint64_t directory_calls[COMET_DIRECTORY_CALLS]; /**< by result */
	uint64_t directory_losses;                       /**< outages of the directory */
	uint64_t unreadable;                             /**< invalid items of the directory */
};

/** Uses of a VM's link other than datagrams. */
enum comet_gateway_use
{
	COMET_GATEWAY_USE_CALLERS,
	COMET_GATEWAY_USE_ENDPOINTS,
	COMET_GATEWAY_USE_DIRECTORY, /**< reads from the directory */
	COMET_GATEWAY_USE_PEERS,     /**< directory copies between VMs, and metrics */
};

#define COMET_GATEWAY_USES (COMET_GATEWAY_USE_PEERS + 1)

/** Latencies of responses for one kind of route. */
struct comet_gateway_times
{
	struct comet_latency_histogram
		first; /**< first byte of the request to first byte of the response */
	struct comet_latency_histogram whole;  /**< to the end of the response */
	struct comet_latency_histogram waited; /**< until it was sent to an endpoint */
};

#define COMET_ROUTE_KINDS (COMET_ROUTE_STREAM + 1)

struct comet_gateway
{
	const struct comet_gateway_settings *settings;
	const char *settings_path;
	const struct comet_header_names *names;
	comet_advertisement_decoder decode_advertisement;
	comet_resumption_decoder decode_resumption;
	struct tevent_context *ev;
	struct comet_timers *timers;
	struct comet_upstream *upstream;
	struct comet_http_server *callers;
	struct comet_http_server *readiness;
	struct comet_http_server *control;
	struct comet_directory *directory;
	struct comet_instances *instances;
	struct comet_incarnations *incarnations;
	struct comet_evacuations *evacuations;
	struct comet_placement *placement;
	struct comet_placement_ops placement_ops;
	struct comet_rate_limiter *rate_limiter;
	struct comet_retry_budget *retries;
	struct comet_link_share *link;
	struct comet_caller_budget *caller_budget;
	struct comet_crash_tracker *crash_tracker;  /**< requests that crash endpoints */
	struct comet_crash_tracker *crashing_parts; /**< parts of prompts that do */
	struct comet_gossip *gossip;
	struct comet_grants *grants;
	struct comet_streams *streams;         /**< versions of streams */
	struct comet_links *links;             /**< whether this VM reaches endpoints */
	struct comet_timer *grants_timer;      /**< timeouts of pending slot requests; NULL: none */
	struct comet_gateway_returns *returns; /**< refused callers and their return */
	struct comet_quota_requests *quota_requests;
	struct comet_timer *quota_timer; /**< timeouts of pending quota requests; NULL: none */
	struct comet_reader_election *reader_election;
	enum comet_directory_mode reading; /**< whether this VM reads the directory itself */
	uint64_t reported_us;              /**< when this VM last reported; 0: never */
	struct comet_datagram_socket *datagram_socket;
	const struct comet_exchange_events *response_events; /**< handle responses to attempts */
	struct comet_route_table *table;                     /**< NULL until one has been read */
	struct comet_gateway_counts counts;
	struct comet_byte_counters bytes[COMET_GATEWAY_USES];    /**< within this zone; all bytes of
								      callers and directory */
	struct comet_byte_counters crossing[COMET_GATEWAY_USES]; /**< to and from other zones, and
								      VMs not known as alive */
	struct comet_latency_histogram
		routes_lag;             /**< from the report of a document until it is in force */
	struct comet_counter_set *ends; /**< requests by outcome, kind and rank */
	struct comet_gateway_times times[COMET_ROUTE_KINDS];
	uint32_t open_request_count; /**< requests that are open */
	GQueue open_requests;        /**< of struct comet_proxy_request: all open requests */
	GList *crash_checks;         /**< of struct crash_check (gateway_crashes.c) */
	bool newly_quarantined;      /**< a request was quarantined: attempts of it may be queued */
	GQueue active_attempts;      /**< of struct comet_proxy_request: sent to an endpoint */
	GQueue held_retries;         /**< of struct comet_proxy_request: a retry waits until the
					 check of the links has ended */
	struct comet_random random;
	uint64_t began_us;
	struct comet_discovery discovery;
	uint32_t resync_vm;             /**< the peer that `resyncing` fetches from */
	uint64_t stop_us;               /**< when the shutdown began; 0: none */
	uint64_t last_loop_us;          /**< when the event loop last waited */
	uint64_t suspended_us;          /**< total time suspended, as last read */
	uint64_t pause_detected_us;     /**< when a pause was last detected; 0: never */
	uint64_t long_pause_us;         /**< end of the last pause in which other VMs may have
					   taken this one for dead; 0: none */
	uint64_t cold_refusals_logged;  /**< requests not sent to cold endpoints, as last logged */
	struct comet_fetch *resyncing;  /**< fetch of a snapshot or delta; NULL: none */
	uint64_t first_snapshot_due_us; /**< when to request the first snapshot again */
	GHashTable *older_peers;        /**< set of peers that do not know packed responses */
	uint64_t resync_due_us; /**< when to request a delta again after a busy peer refused one */
	struct comet_resync_cache *resync_cache;
	struct comet_fetch *fetching_document; /**< fetch of the routing document; NULL: none */
	uint64_t answered_us;         /**< when the directory last answered a call; 0: never */
	uint64_t stale_us;            /**< since when a peer has been ahead; 0: none */
	uint64_t document_missing_us; /**< since when a document has been missing; 0: none */
	uint64_t document_failed_us;  /**< last failed fetch of the document; 0: none */
	uint64_t restarted_for;       /**< last reported position that restarted the watch */
	uint64_t position;            /**< in the directory up to which everything is complete */
	uint64_t endpoints_position;  /**< position up to which endpoints are complete */
	uint64_t lost_us;             /**< when the directory last became unreachable */
	bool directory_lost;          /**< the directory is unreachable */
	bool listed;                  /**< the first list of endpoints is complete */
	bool refusing;                /**< the shutdown accepts no new requests */
	bool stopped;                 /**< the shutdown is complete: the event loop ends */
};

/** Handles the requests of callers (gateway_callers.c). */
extern const struct comet_http_server_events comet_gateway_caller_events;

/** Writes the metrics of callers' connections (gateway_callers.c). */
void
comet_gateway_callers_put_metrics(const struct comet_gateway *gateway, GString *out);

/** Applies updates of the directory (gateway_directory.c). */
extern const struct comet_directory_events comet_gateway_directory_events;

/** Applies what the head of a response states about its endpoint (gateway_advertisements.c). */
void
comet_gateway_apply_advertisement(struct comet_gateway *gateway, struct comet_instance *instance,
	const struct comet_http_head *head, uint64_t now_us);

/** Applies the speed that another VM reported with a release or a sample (gateway_speed.c). */
void
comet_gateway_learn_speed(struct comet_gateway *gateway, struct comet_instance *instance,
	const comet_SlotFreed *freed, uint64_t now_us);

/** Returns the counters of bytes exchanged with another VM (gateway_metrics.c). */
struct comet_byte_counters *
comet_gateway_peer_bytes(struct comet_gateway *gateway, uint32_t vm);

/** Logs the end of an evacuation (gateway_directory.c). */
void
comet_gateway_zone_restored(void *ctx, const char *zone);

/** Runs the expiries of endpoints and zones that are due (gateway_directory.c). */
void
comet_gateway_tick_endpoints(struct comet_gateway *gateway, uint64_t now_us);

/** Moves requests that wait for a slot or a connection to other VMs, after the links to all
 * endpoints were lost (gateway_peer_attempt.c). */
void
comet_gateway_move_requests_to_peers(struct comet_gateway *gateway);

/** Continues requests after a check of the links (gateway_send.c). */
extern const struct comet_links_ops comet_gateway_links_ops;

/** Operations that placement needs (gateway_send.c). */
extern const struct comet_placement_ops comet_gateway_placement_ops;

/** Counts the VMs that are preferred as the owner of a shard, for placement's operations
 * (gateway_cold.c). */
uint32_t
comet_gateway_count_preferred(void *ctx, const struct comet_shard *shard);

/** Updates the share of this VM in the requests to cold endpoints, and logs refused ones. */
void
comet_gateway_update_cold_shares(struct comet_gateway *gateway, uint64_t now_us);

/** Reduces the share after a pause of this process, before it handles other input. */
void
comet_gateway_handle_cold_pause(struct comet_gateway *gateway, uint64_t paused_us, uint64_t now_us);

/** Requests slots from their owners, for placement's operations (gateway_grants.c). */
enum comet_placement_owner
comet_gateway_find_shard_owner(void *ctx, struct comet_shard *shard);

void
comet_gateway_request_slot(void *ctx, struct comet_placement_item *item, struct comet_shard *shard,
	const struct comet_slot_request *request);

void
comet_gateway_cancel_slot_request(void *ctx, struct comet_placement_item *item);

void
comet_gateway_grant_slot(
	void *ctx, const struct comet_slot_request *request, struct comet_instance *instance);

extern const struct comet_grants_ops comet_gateway_grants_ops;

/** Handles a slot request, answer or release of another VM. */
void
comet_gateway_receive_grants(
	struct comet_gateway *gateway, const comet_Datagram *datagram, uint64_t now_us);

/** Answers quota requests of other VMs and takes their answers (gateway_quota.c). */
extern const struct comet_quota_requests_ops comet_gateway_quota_ops;

/** Answers on the readiness and control addresses (gateway_pages.c). */
extern const struct comet_http_server_events comet_gateway_readiness_events;
extern const struct comet_http_server_events comet_gateway_control_events;

/** Path of a snapshot of the directory on a VM's control address. */
#define COMET_GATEWAY_SNAPSHOT_PATH "/v1/directory"

/** The same, packed (comet_resync_pack()). */
#define COMET_GATEWAY_PACKED_PATH COMET_GATEWAY_SNAPSHOT_PATH "/packed"

/** The packed delta of endpoints after the position that follows. */
#define COMET_GATEWAY_PACKED_ENDPOINTS_PATH COMET_GATEWAY_SNAPSHOT_PATH "/endpoints/packed?after="

/** The delta after the position that follows. */
#define COMET_GATEWAY_DELTA_PATH COMET_GATEWAY_SNAPSHOT_PATH "?after="

/** The delta of endpoints after the position that follows. */
#define COMET_GATEWAY_ENDPOINTS_PATH COMET_GATEWAY_SNAPSHOT_PATH "/endpoints?after="

/** The routing document; the directory's query follows. */
#define COMET_GATEWAY_DOCUMENT_PATH COMET_GATEWAY_SNAPSHOT_PATH "/document?"

/** Requests a delta of endpoints from a peer, unless a request is under way (gateway_resync.c). */
void
comet_gateway_request_endpoints(struct comet_gateway *gateway, uint32_t vm);

/** Forgets which release a peer runs, because its process may be another one now. */
void
comet_gateway_forget_release(struct comet_gateway *gateway, uint32_t vm);

/** While this VM waits for its first snapshot: requests one from a reader of its zone, or from
 * another peer, at most several times a second. */
void
comet_gateway_request_first_snapshot(struct comet_gateway *gateway, uint64_t now_us);

/** Fetches a reported routing document, from a reader or otherwise from the directory. */
void
comet_gateway_fetch_document(struct comet_gateway *gateway, uint64_t now_us);

/** Decides whether this VM reads the directory, and reports to followers
 * (gateway_reader_election.c). */
void
comet_gateway_tick_reader_election(struct comet_gateway *gateway, uint64_t now_us);

/** Reports this VM's position to its followers. */
void
comet_gateway_report_position(struct comet_gateway *gateway, uint64_t now_us);

/** Handles the report of a reader. */
void
comet_gateway_handle_report(struct comet_gateway *gateway, const comet_News *news, uint64_t now_us);

/** Restarts the watch, or resyncs from a peer, after peers have been ahead for a while
 * (gateway_resync.c). */
void
comet_gateway_resync(struct comet_gateway *gateway, uint64_t now_us);

/** @return NULL if this VM accepts requests, otherwise a code of the reason (gateway_pages.c). */
const char *
comet_gateway_not_ready(const struct comet_gateway *gateway);

/** Responds with all metrics (gateway_metrics.c). */
void
comet_gateway_respond_metrics(
	struct comet_gateway *gateway, struct comet_http_server_request *request);

#endif
