#ifndef CORE_SNAPSHOT_H
#define CORE_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/types.h"

/*
 * The three published lists as immutable, reference-counted tables. The config
 * package builds them from text; the core only reads them. Pointers returned by
 * the lookups are valid while the list is referenced.
 *
 * LIST_PLANS holds the teams with their keys and the name of their plan,
 * LIST_ALLOWANCES the zones, services and the plans themselves, LIST_FLEET the
 * instances and targets.
 */

typedef enum {
	LIST_PLANS,
	LIST_ALLOWANCES,
	LIST_FLEET,
	LIST_COUNT
} list_kind_t;

/* Common head of all lists. text is the published text, as received. */
typedef struct {
	gint refs;
	uint64_t version;
	uint8_t digest[DIGEST_BYTES]; /* of text */
	char *text;
	size_t text_len;
} list_head_t;

typedef struct {
	char *id;
	uint8_t hash[KEY_HASH_BYTES]; /* SHA-256 of the key */
} team_key_t;

typedef struct {
	char *name;
	char *plan;
	char *home; /* region, or NULL */
	team_key_t *keys;
	size_t n_keys;
} team_t;

/* Maximum number of parts of a plans list. */
#define PLANS_PART_LIMIT 256

/*
 * A plans list, one part of it as published, or the whole made of its parts by
 * plans_combine(). The whole of several parts has no text; its teams are owned
 * by the parts, to which it holds references.
 */
typedef struct plans plans_t;
struct plans {
	list_head_t head;
	uint32_t part;	      /* of a published list; 0 .. parts - 1 */
	uint32_t parts;	      /* 0 counts as 1 */
	plans_t **part_lists; /* the parts of a whole; NULL: a published list */
	team_t *teams;
	size_t n_teams;
	GHashTable *by_name; /* name -> team_t */
	GHashTable *by_hash; /* hash bytes -> key_owner_t */
};

/* The team and the key that a key hash belongs to. */
typedef struct {
	const team_t *team;
	const team_key_t *key;
} key_owner_t;

typedef enum { SERVICE_ENGINE, SERVICE_PLAIN } service_kind_t;

/* What the engines of a service in a region should run. */
typedef struct {
	char *region;
	char *model;
	char *version;
	char **adapters; /* NULL-terminated, at most DESIRED_ADAPTER_LIMIT */
	char *role;
} desired_t;

#define DESIRED_ADAPTER_LIMIT 8

typedef struct {
	char *name;
	service_kind_t kind;
	char **orders; /* NULL-terminated paths whose POST is an order */
	bool open;     /* needs no API key */
	desired_t *desired;
	size_t n_desired;
	bool refuses_fences; /* its engines refuse an old fencing number */
} service_t;

typedef struct {
	char *name;
	char *region;
	uint32_t weight;
} zone_t;

typedef struct {
	char *service;
	char **regions; /* NULL-terminated */
} plan_use_t;

typedef struct {
	char *name;
	int64_t rate;  /* tokens a second for each team of the plan */
	int64_t burst; /* tokens */
	int priority;  /* 0 (highest) .. 3 */
	plan_use_t *use;
	size_t n_use;
} plan_t;

typedef struct {
	list_head_t head;
	zone_t *zones;
	size_t n_zones;
	service_t *services;
	size_t n_services;
	plan_t *plans;
	size_t n_plans;
	char **retired; /* NULL-terminated names of decommissioned instances */
	char *store_region;   /* of the weight store, or NULL */
	uint32_t store_loads; /* concurrent loads in the fleet; 0: no limit */
	uint32_t plans_parts; /* published at the platform; 0 counts as 1 */
} allowances_t;

typedef enum { MEMBER_LIVE, MEMBER_LEAVING } member_state_t;

typedef struct {
	char *name;
	char *zone;
	char *http; /* address:port for callers */
	char *peer; /* address:port for ONC RPC */
	member_state_t state;
} instance_t;

typedef struct {
	char *name;
	char *zone;
	char *service;
	char *url;
	uint32_t slots; /* maximum concurrent requests */
	member_state_t state;
} target_t;

typedef struct {
	list_head_t head;
	instance_t *instances;
	size_t n_instances;
	target_t *targets;
	size_t n_targets;
} fleet_t;

plans_t *plans_ref(plans_t *plans);
void plans_unref(plans_t *plans);
allowances_t *allowances_ref(allowances_t *allowances);
void allowances_unref(allowances_t *allowances);
fleet_t *fleet_ref(fleet_t *fleet);
void fleet_unref(fleet_t *fleet);

/* Returns "plans", "allowances" or "fleet". */
const char *list_kind_name(list_kind_t kind);

/* Lookups by name; NULL when there is none. */
const team_t *plans_find_team(const plans_t *plans, const char *name);
const key_owner_t *plans_find_key(
    const plans_t *plans, const uint8_t hash[KEY_HASH_BYTES]);
const plan_t *allowances_find_plan(
    const allowances_t *allowances, const char *name);
const service_t *allowances_find_service(
    const allowances_t *allowances, const char *name);
const zone_t *allowances_find_zone(
    const allowances_t *allowances, const char *name);
/* Whether a service has a desired state in the zone's region. */
bool allowances_zone_has_desired(
    const allowances_t *allowances, const zone_t *zone);
const desired_t *service_find_desired(
    const service_t *service, const char *region);
const plan_use_t *plan_find_use(const plan_t *plan, const char *service);
const instance_t *fleet_find_instance(const fleet_t *fleet, const char *name);

/* Builds by_name and by_hash once all teams are set. */
void plans_index(plans_t *plans);

/* Number of parts of this list, or of the list it is a part of; at least 1. */
uint32_t plans_parts(const plans_t *plans);

/* The part that a team belongs to: a stable hash of its name modulo parts. */
uint32_t plans_part_of(const char *team, uint32_t parts);

/*
 * Returns the whole of a list from all its parts, with one reference: version
 * is the sum of the parts' versions, and digest a hash over their digests. The
 * whole of one part is that part. No key may be in two parts. Cost: O(teams).
 */
plans_t *plans_combine(plans_t *const *parts, uint32_t n);

/* Whether the two lists have a key hash in common. */
bool plans_share_key(const plans_t *a, const plans_t *b);

/*
 * Sets text (copied), its length and its digest (BLAKE2b of the text) in a list
 * that is being built.
 */
void list_head_set_text(list_head_t *head, const char *text, size_t len);

#endif
