/*
 * routes.h
 * the routing document in force: routes, services, teams and their limits
 *
 * Immutable once built; requests that were admitted under it keep a reference.
 */
#ifndef COMETSPINDLE_GATEWAY_ROUTES_H
#define COMETSPINDLE_GATEWAY_ROUTES_H

#include <glib.h>
#include <libcometspindle/http_limits.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What may be done with a request again, and how its answer comes. */
enum comet_route_kind
{
	COMET_ROUTE_SAFE,   /**< may run more than once */
	COMET_ROUTE_UNSAFE, /**< runs at most once */
	COMET_ROUTE_STREAM, /**< answered by server-sent events; at most once unless resumable */
};

/** One of the services that a route is split over. */
struct comet_route_share
{
	char *service;
	uint32_t weight; /**< relative to the route's other shares */
};

struct comet_route
{
	char *name;
	char *host;        /**< lower case, without port */
	char *path_prefix; /**< begins and ends with a slash */
	enum comet_route_kind kind;
	bool resumable;        /**< a cut stream may go on at another endpoint */
	bool open;             /**< needs no key */
	uint32_t timeout_ms;   /**< longest time a request is held; 0: no bound */
	uint32_t aim_ms;       /**< an answer (a first event) within this time is in time */
	uint32_t gap_ms;       /**< longest pause between events that is in time; 0: none */
	uint32_t max_attempts; /**< endpoints that one request may be sent to */
	uint32_t priority;     /**< 0 is the most urgent */
	struct comet_route_share *shares;
	uint32_t n_shares;
};

/** A team as the document describes it. */
struct comet_route_team
{
	char *name;
	uint32_t id; /**< comet_hash_name(name) */
	bool has_priority;
	uint32_t priority;       /**< goes before that of the route */
	uint64_t rate_per_s;     /**< tokens or requests, by in_tokens; 0: no limit */
	uint64_t burst;          /**< above the rate */
	bool in_tokens;          /**< counted in tokens, else in requests */
	uint32_t default_tokens; /**< charged when a request does not tell its tokens */
};

/** A service as the document describes it. */
struct comet_route_service
{
	char *name;
	uint32_t cold_ms;  /**< how long its endpoints are cold after their starts; 0: never */
	double cold_per_s; /**< requests a second that one bears meanwhile; 0: not told */
};

struct comet_route_table;

/** Starts a table; it is filled by the calls below and then not changed any more. */
struct comet_route_table *
comet_route_table_create(uint64_t version, const struct comet_http_limits *limits);

/** Adds a copy of a route. */
void
comet_route_table_add(struct comet_route_table *table, const struct comet_route *route);

/** Adds a copy of a team; keys are n_keys texts. */
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

/** @return whether any team is listed: then routes that are not open need a key. */
bool
comet_route_table_needs_keys(const struct comet_route_table *table);

/** @return the route of a host whose prefix begins the path and is longest, or NULL. */
const struct comet_route *
comet_route_table_find(const struct comet_route_table *table, const char *host, const char *path);

/** @return the team that holds a key, or NULL. */
const struct comet_route_team *
comet_route_table_team_by_key(const struct comet_route_table *table, const char *key);

/** @return the team of a name, or NULL. */
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

/** Draws one of the route's services by weight; draw is uniform in [0, 2^32). */
const char *
comet_route_pick_service(const struct comet_route *route, uint32_t draw);

/** @return the name of a kind, for logs and metrics. */
const char *
comet_route_kind_name(enum comet_route_kind kind);

/** @return whether a request on this route may be run a second time. */
bool
comet_route_is_retryable(const struct comet_route *route);

#endif
