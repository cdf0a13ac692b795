#ifndef CORE_LISTS_H
#define CORE_LISTS_H

#include "core/heartbeat.h"
#include "core/plans_set.h"
#include "core/snapshot.h"
#include "core/types.h"

/*
 * The lists in force at one instance, and its agreement with its peers about
 * their versions. The version in force of a list only rises. Plans and
 * allowances are in force only as a compatible pair.
 *
 * The plans list may come in parts (core/plans_set.h). Instances compare the
 * whole by its version, the sum of the versions of its parts, and by its
 * digest, a hash over the digests of the parts. Why the sum is enough:
 *
 * - In one process the version of the whole rises with each adoption, because
 *   the version of a part only rises and a new number of parts needs versions
 *   above that of the whole. So in one process a version identifies one set of
 *   parts, and the highest version of a peer is its latest set.
 * - Two instances may hold different sets of the same version. Code that infers
 *   from a peer's plans version that it holds our set compares the digest too:
 *   an acknowledgement or agreement of the pair counts only with our digest
 *   (peer_has_our_list), and its version is then that of our set by the first
 *   rule.
 * - zone_shares_adopt() takes a pair that follows the agreed one by 1 as the
 * next: then exactly one part rose by 1 and the number of parts is the same. A
 * team that this part adds was in no part that any instance holds: all have
 *   acknowledged the agreed set, and its part had the preceding version there
 *   or has a newer one. A change of the number of parts is never the next.
 * - A lower or equal version with another digest may contain a part that we
 *   lack. We request it when the difference lasts LISTS_DIVERGED_US.
 */

/* A fetch whose end was not reported counts as lost after this time. */
#define LISTS_FETCH_US (3 * US_PER_S)
/* After a failed fetch, the next one of the same list starts this much later.
 */
#define LISTS_RETRY_US (1 * US_PER_S)
/* A new instance waits this long for a heartbeat of each listed instance. */
#define LISTS_STARTUP_WAIT_US (2 * US_PER_S)
/* A peer counts as reachable this long after a heartbeat. Within a zone they
 * come every 5 s or more often; those of other zones in a large fleet are
 * rarer, see gate_heartbeat.c. */
#define LISTS_REACHABLE_US (6 * US_PER_S)
/* Parts of the plans list that differ at a peer, without a higher version of
 * the whole, are requested from it after this time. */
#define LISTS_DIVERGED_US (3 * US_PER_S)
/* Most peers whose versions are remembered; the planned size is 400 nodes. */
#define LISTS_PEER_LIMIT 1024

/* A list of any kind. All kinds start with their head. */
typedef struct {
	list_kind_t kind;
	union {
		list_head_t *head;
		plans_t *plans;
		allowances_t *allowances;
		fleet_t *fleet;
	};
} list_any_t;

typedef enum {
	LISTS_ADOPT, /* newer: now in force; by lists_compare: worth fetching */
	LISTS_SAME,
	LISTS_BEHIND,	/* lower version; from the platform: it reverted */
	LISTS_CONFLICT, /* known version with other content; rejected */
	LISTS_WAITING,	/* newer, kept until a compatible list arrives */
	/* Waits too; a key of this part of plans is also in another part. */
	LISTS_DUPLICATE,
} lists_verdict_t;

typedef struct {
	lists_verdict_t verdict;
	/* Which lists in force changed; two if a waiting one was adopted too.
	 */
	bool changed[LIST_COUNT];
} lists_offer_t;

/* What to do after a heartbeat of a peer. */
typedef struct {
	bool fetch[LIST_COUNT];	   /* from this peer, now */
	bool conflict[LIST_COUNT]; /* same version, other content */
} lists_wanted_t;

/* References to the lists in force; NULL where there is none. */
typedef struct {
	plans_t *plans;
	allowances_t *allowances;
	fleet_t *fleet;
} lists_view_t;

/* Returns whether the allowances list has the plan of every team. */
typedef bool (*lists_compatible_t)(
    const plans_t *plans, const allowances_t *allowances, void *data);

typedef struct lists lists_t;

/* Adds a reference; drops one and sets the pointer to NULL. */
list_any_t list_any_ref(list_any_t list);
void list_any_clear(list_any_t *list);

/* self is the instance's own name. */
lists_t *lists_create(
    const char *self, lists_compatible_t compatible, void *data);
void lists_destroy(lists_t *lists);

/* Returns "adopted", "same", "list_reverted", "list_conflict", "waiting" or
 * "duplicate_key". */
const char *lists_verdict_name(lists_verdict_t verdict);

/* Compares a stamp with the lists held here. Changes nothing. */
lists_verdict_t lists_compare(
    const lists_t *lists, list_kind_t kind, const list_stamp_t *stamp);

/*
 * Offers a parsed and validated list from the platform or a peer. Takes
 * references as needed; the caller keeps its own. The caller counts the
 * verdict in the metrics.
 */
lists_offer_t lists_offer(lists_t *lists, list_any_t list, time_us_t now);

/*
 * Records that the text with this stamp failed validation, so that it is not
 * fetched again and does not keep the instance from becoming ready.
 */
void lists_mark_refused(
    lists_t *lists, list_kind_t kind, const list_stamp_t *stamp);

/* The same for a part of the plans list. */
void lists_mark_part_refused(lists_t *lists, const plans_skip_t *part);

/* Fills in the versions held here, so that a peer can send missing parts. */
void lists_plans_held(const lists_t *lists, plans_held_t *held);

/* Returns the first part in force here that the holder of held lacks, or NULL.
 * It is valid until the next offer. */
const plans_t *lists_plans_missing(
    const lists_t *lists, const plans_held_t *held);

/* Number of parts of the plans list in force; 0: none. */
uint32_t lists_plans_parts(const lists_t *lists);

/* Number of parts at the platform by the newest allowances list; 0: no list. */
uint32_t lists_plans_published(const lists_t *lists);

/* Returns new references, released with lists_view_clear. */
lists_view_t lists_view(const lists_t *lists);
void lists_view_clear(lists_view_t *view);

/* Returns a reference to one list in force, e.g. to send its text to a peer;
 * its head is NULL where there is none. */
list_any_t lists_get(const lists_t *lists, list_kind_t kind);

/* Version in force, and waiting version; 0: none. For plans, the waiting
 * version is that of the newest waiting part. */
uint64_t lists_version(const lists_t *lists, list_kind_t kind);
uint64_t lists_waiting(const lists_t *lists, list_kind_t kind);

/* Sets heartbeat->adopted. */
void lists_fill_adopted(const lists_t *lists, heartbeat_t *heartbeat);

/* Records a heartbeat of a peer from which no lists can be fetched. */
void lists_record_peer(lists_t *lists, const heartbeat_t *peer, time_us_t now);

/*
 * Records a heartbeat (request or reply) of a peer and returns which lists to
 * fetch from it. Each of these counts as being fetched until lists_fetch_end is
 * called.
 */
lists_wanted_t lists_on_heartbeat(
    lists_t *lists, const heartbeat_t *peer, time_us_t now);

/*
 * Ends a fetch. got: the text arrived, valid or not; it was offered or marked
 * as refused before this call.
 */
void lists_fetch_end(lists_t *lists, list_kind_t kind, bool got, time_us_t now);

typedef enum {
	LISTS_FETCH_FAILED,
	LISTS_FETCH_NOTHING, /* the peer has no part that we lack */
	LISTS_FETCH_GOT,     /* a part arrived, and was offered or refused */
} lists_fetch_t;

/*
 * Ends a fetch of a part of the plans list from the peer of this name. Returns
 * whether another one of the same peer starts at once.
 */
bool lists_plans_fetch_end(
    lists_t *lists, const char *peer, lists_fetch_t result, time_us_t now);

/* Whether a heartbeat of the named instance was received at or after since. */
bool lists_seen_since(const lists_t *lists, const char *name, time_us_t since);

/*
 * Whether the instance may serve requests. Becomes true, and stays so, once all
 * three lists are in force, a heartbeat of each instance of the fleet list was
 * received or LISTS_STARTUP_WAIT_US has passed since the first fleet list came
 * into force, and no reachable peer is known to have a newer list. The wait
 * starts at the fleet list because no peer is known before it.
 */
bool lists_ready(lists_t *lists, time_us_t now);

/*
 * Returns the time to wait before the next read of the platform: uniformly
 * random in 1 s .. 4 s for attempt 0, doubling to 1 s .. 30 s. The first wait
 * is random too, because an outage ends the watches of all instances at once.
 */
time_us_t read_backoff(unsigned attempt, uint64_t seed);

#endif
