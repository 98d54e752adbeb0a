/*
 * routes.h
 * The routing table built from the routing document: routes, services, teams
 * and their limits.
 *
 * A table does not change once it is built. A request keeps a reference to the
 * table under which it was admitted.
 */
#ifndef COMETSPINDLE_GATEWAY_ROUTES_H
#define COMETSPINDLE_GATEWAY_ROUTES_H

#include <glib.h>
#include <libcometspindle/gateway/routing/regions.h>
#include <libcometspindle/http_limits.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Whether a request may be retried, and how it is answered. */
enum comet_route_kind
{
	COMET_ROUTE_SAFE,   /**< may run more than once */
	COMET_ROUTE_UNSAFE, /**< runs at most once */
	COMET_ROUTE_STREAM, /**< answered by server-sent events; runs at most once unless resumable
			     */
};

/** One of the services that share the requests of a route. */
struct comet_route_share
{
	char *service;
	uint32_t weight; /**< relative to the other shares of the route */
};

struct comet_route
{
	char *name;
	char *host;        /**< in lower case, without the port */
	char *path_prefix; /**< begins and ends with a slash */
	enum comet_route_kind kind;
	bool resumable;             /**< an interrupted stream may be resumed at another endpoint */
	bool open;                  /**< needs no API key */
	uint32_t timeout_ms;        /**< longest time that a request is held; 0: no limit */
	uint32_t target_latency_ms; /**< target for the time to the complete response, or to the
			    first event of a stream */
	uint32_t target_gap_ms;     /**< target for the longest pause between events; 0: none */
	uint32_t max_attempts;      /**< maximum number of endpoints that one request is sent to */
	uint32_t priority;          /**< 0 is the most urgent */
	struct comet_region_set regions; /**< in which its requests may be served */
	struct comet_route_share *shares;
	uint32_t n_shares;
};

/** A team as the routing document describes it. */
struct comet_route_team
{
	char *name;
	uint32_t id; /**< comet_hash_name(name) */
	bool has_priority;
	uint32_t priority;       /**< compared before the priority of the route */
	uint64_t rate_per_s;     /**< tokens or requests, see in_tokens; 0: no limit */
	uint64_t burst;          /**< allowed in addition to the rate */
	bool in_tokens;          /**< the limit counts tokens, not requests */
	uint32_t default_tokens; /**< charged if a request does not declare its number of tokens */
	struct comet_region_set regions; /**< in which its requests may be served */
};

/** A service as the routing document describes it. */
struct comet_route_service
{
	char *name;
	uint32_t slow_start_ms;  /**< duration of the slow start of its endpoints; 0: none */
	double slow_start_per_s; /**< requests per second that an endpoint can serve during slow
			      start; 0: unknown */
};

struct comet_route_table;

/**
 * Creates an empty table with one reference. It is filled by the calls below and must not be
 * changed after that.
 */
struct comet_route_table *
comet_route_table_create(uint64_t version, const struct comet_http_limits *limits);

/** Adds a copy of a route. A route with the host and prefix of an earlier one is ignored. */
void
comet_route_table_add(struct comet_route_table *table, const struct comet_route *route);

/** Adds a copy of a team with n_keys API keys. */
void
comet_route_table_add_team(struct comet_route_table *table, const struct comet_route_team *team,
	const char *const *keys, size_t n_keys);

/** Adds a copy of a service. */
void
comet_route_table_add_service(
	struct comet_route_table *table, const struct comet_route_service *service);

struct comet_route_table *
comet_route_table_ref(struct comet_route_table *table);

void
comet_route_table_unref(struct comet_route_table *table);

uint64_t
comet_route_table_version(const struct comet_route_table *table);

const struct comet_http_limits *
comet_route_table_limits(const struct comet_route_table *table);

/** @return whether the table has teams; routes that are not open then need an API key. */
bool
comet_route_table_needs_keys(const struct comet_route_table *table);

/** @return the route of the host with the longest prefix of the path, or NULL. */
const struct comet_route *
comet_route_table_find(const struct comet_route_table *table, const char *host, const char *path);

/** @return the team that has the API key, or NULL. */
const struct comet_route_team *
comet_route_table_team_by_key(const struct comet_route_table *table, const char *key);

/** @return the team with the id, or NULL. */
const struct comet_route_team *
comet_route_table_team(const struct comet_route_table *table, uint32_t id);

/** Calls visit for each team. */
void
comet_route_table_each_team(const struct comet_route_table *table,
	void (*visit)(void *ctx, const struct comet_route_team *team), void *ctx);

/** Calls visit for each service. */
void
comet_route_table_each_service(const struct comet_route_table *table,
	void (*visit)(void *ctx, const struct comet_route_service *service), void *ctx);

/** Selects one of the services of the route by weight. draw: uniformly distributed in [0, 2^32). */
const char *
comet_route_pick_service(const struct comet_route *route, uint32_t draw);

/** @return the name of a kind, for logs and metrics. */
const char *
comet_route_kind_name(enum comet_route_kind kind);

/** @return whether a request on this route may be run a second time. */
bool
comet_route_is_retryable(const struct comet_route *route);

#endif
