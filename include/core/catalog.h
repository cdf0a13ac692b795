#ifndef CORE_CATALOG_H
#define CORE_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/topology.h"
#include "core/types.h"
#include "core/version.h"

/*
 * One version of the configuration that operators publish: routes, services,
 * teams with their keys, and caller limits. Immutable once it is built, and
 * reference-counted, as its routes and teams are: a request refers to those
 * that it was admitted under, and not to all of the version, of which there may
 * be many during a long stream.
 */
typedef enum {
	ROUTE_SAFE,   /* may be repeated */
	ROUTE_UNSAFE, /* runs at most once */
	ROUTE_STREAM, /* answered by events; at most once unless resumable */
} route_kind_t;

typedef struct catalog_service catalog_service_t;

typedef struct {
	const catalog_service_t *service; /* referenced by the route */
	uint32_t weight;
} route_backend_t;

#define ROUTE_BACKEND_LIMIT 8

typedef struct {
	char *name;
	char *host;
	char *prefix;
	route_kind_t kind;
	int64_t timeout_ms;
	int64_t first_byte_objective_ms; /* time to the first byte or event */
	int64_t max_event_gap_ms;   /* between events, for a timely response */
	int64_t silence_timeout_ms; /* callers leave after this silence of a
				stream; 0: unknown */
	int priority;		    /* 0: most urgent */
	uint32_t max_attempts;	    /* targets that may run one request */
	bool open;		    /* no key is required */
	bool unreadable; /* known by host and prefix only; is refused */
	bool resumable;
	region_set_t regions; /* that may serve it */
	route_backend_t backends[ROUTE_BACKEND_LIMIT];
	size_t n_backends;
} catalog_route_t;

struct catalog_service {
	char *name;
	uint32_t connection_limit; /* per target, for all callers; 0: none */
	double cold_per_s;	   /* request rate of a cold target; 0: any */
	char *health_path;	   /* of its targets; NULL: none */
	bool engine;		   /* model engine; otherwise a plain service */
	uint32_t engine_slots;
	uint64_t cache_tokens; /* prefix cache of one engine */
	double event_tokens;   /* response tokens per event; 0: unknown */
};

typedef struct {
	char *name;
	int priority; /* -1: the route's */
	region_set_t regions;
	bool counts_tokens;  /* otherwise requests */
	double plain_tokens; /* for a request that doesn't state its tokens */
	double rate;	     /* per second for all instances; 0: no limit */
	double burst;
	bool unreadable; /* known by its keys only; is refused */
} catalog_team_t;

typedef struct {
	uint64_t max_header_bytes;
	uint64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} caller_limits_t;

typedef struct catalog catalog_t;

/* version: VERSION_NONE if it can't be read. */
catalog_t *catalog_create(const char *version);
catalog_t *catalog_ref(catalog_t *catalog);
void catalog_unref(catalog_t *catalog);

/* Take ownership of the strings. The first and the last return the index. */
int catalog_add_service(catalog_t *catalog, const catalog_service_t *service);
void catalog_add_route(catalog_t *catalog, const catalog_route_t *route);
int catalog_add_team(catalog_t *catalog, const catalog_team_t *team);

/* Adds a key of a team. Returns false when the key exists already. */
bool catalog_add_key(catalog_t *catalog, const char *key, int team);
/* Gives a key to a team, whoever has it. */
void catalog_move_key(catalog_t *catalog, const char *key, int team);
void catalog_set_limits(catalog_t *catalog, const caller_limits_t *limits);
void catalog_set_requires_key(catalog_t *catalog, bool requires_key);

/* A string that can be referenced by g_ref_string_acquire(). */
const char *catalog_version(const catalog_t *catalog);
/*
 * Records a part of the document that can't be read, for the log. The first
 * CATALOG_PROBLEM_LIMIT are kept, and all are counted.
 */
#define CATALOG_PROBLEM_LIMIT 16
void catalog_add_problem(catalog_t *catalog, const char *text);
size_t catalog_n_problems(const catalog_t *catalog);
const char *catalog_problem(const catalog_t *catalog, size_t i);

/*
 * Marks that the document has routes or keys that can't be read at all, so that
 * an unknown one may be allowed.
 */
void catalog_set_incomplete(catalog_t *catalog);
bool catalog_is_incomplete(const catalog_t *catalog);

const caller_limits_t *catalog_limits(const catalog_t *catalog);

/* Returns whether callers must present a key on routes that are not open. */
bool catalog_requires_key(const catalog_t *catalog);

/*
 * Returns the route of the host with the longest matching path prefix, or NULL.
 * A port in host is ignored.
 */
const catalog_route_t *catalog_route(const catalog_t *catalog, const char *host,
    size_t host_len, const char *path, size_t path_len);

/* Return the team's index, or -1. */
int catalog_key_team(const catalog_t *catalog, const char *key, size_t len);
int catalog_team_index(const catalog_t *catalog, const char *name);
const catalog_team_t *catalog_team(const catalog_t *catalog, int team);
size_t catalog_n_teams(const catalog_t *catalog);

int catalog_service_index(const catalog_t *catalog, const char *name);
const catalog_service_t *catalog_service(const catalog_t *catalog, int service);
size_t catalog_n_services(const catalog_t *catalog);

/* Returns the regions that the largest number of routes and teams permit. */
region_set_t catalog_common_regions(const catalog_t *catalog);

/*
 * Picks one of the route's services by weight; random is any number. Returns
 * NULL if the route has none.
 */
const catalog_service_t *catalog_pick_service(
    const catalog_route_t *route, uint64_t random);

/*
 * References to a route, with its services, and to a team, which then outlive
 * the catalog. The second one of each pair accepts NULL.
 */
const catalog_route_t *catalog_route_ref(const catalog_route_t *route);
void catalog_route_unref(const catalog_route_t *route);
const catalog_team_t *catalog_team_ref(const catalog_team_t *team);
void catalog_team_unref(const catalog_team_t *team);

#endif
