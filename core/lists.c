#include "core/lists.h"

#include <string.h>
#include <xxhash.h>

#define BACKOFF_MIN_US (1 * US_PER_S)
#define BACKOFF_FIRST_MAX_US (4 * US_PER_S)
#define BACKOFF_MAX_US (30 * US_PER_S)

typedef struct {
	bool active;
	uint64_t version;
	uint64_t changes; /* plans.changes when it started */
	time_us_t started_at;
	time_us_t retry_at;
} fetch_t;

typedef struct {
	time_us_t last_seen;
	list_stamp_t adopted[LIST_COUNT];
	/* The plans list in adopted has differed from ours since then. */
	time_us_t differs_at;
	uint64_t differs_changes;
	/* Plans digest of the peer, and our plans.changes plus 1, when it last
	 * had no part that we lacked. */
	uint8_t no_part_digest[DIGEST_BYTES];
	uint64_t no_part_changes; /* 0: not known */
} known_peer_t;

#define REFUSED_PARTS 8

struct lists {
	char self[NAME_LIMIT + 1];
	lists_compatible_t compatible;
	void *compatible_data;
	list_any_t in_force[LIST_COUNT];
	list_any_t waiting[LIST_COUNT]; /* unused for plans */
	plans_sets_t plans;
	list_stamp_t refused[LIST_COUNT]; /* last text that was refused */
	plans_skip_t refused_parts[REFUSED_PARTS];
	uint32_t n_refused_parts; /* total; refused_parts is a ring */
	fetch_t fetches[LIST_COUNT];
	GHashTable *peers; /* instance name -> known_peer_t */
	time_us_t fleet_adopted_at;
	bool ready;
};

list_any_t
list_any_ref(list_any_t list)
{
	switch (list.kind) {
	case LIST_PLANS:
		plans_ref(list.plans);
		break;
	case LIST_ALLOWANCES:
		allowances_ref(list.allowances);
		break;
	case LIST_FLEET:
	case LIST_COUNT:
		fleet_ref(list.fleet);
		break;
	}
	return list;
}

void
list_any_clear(list_any_t *list)
{
	switch (list->kind) {
	case LIST_PLANS:
		plans_unref(list->plans);
		break;
	case LIST_ALLOWANCES:
		allowances_unref(list->allowances);
		break;
	case LIST_FLEET:
	case LIST_COUNT:
		fleet_unref(list->fleet);
		break;
	}
	list->head = NULL;
}

static void
list_replace(list_any_t *dest, list_any_t list)
{
	list_any_t old = *dest;

	*dest = list_any_ref(list);
	list_any_clear(&old);
}

static uint64_t
list_version(const list_any_t *list)
{
	return list->head == NULL ? 0 : list->head->version;
}

/* Returns the waiting list; for plans the newest waiting part. */
static list_any_t
list_waiting(const lists_t *lists, list_kind_t kind)
{
	list_any_t waiting = lists->waiting[kind];

	if (kind == LIST_PLANS)
		waiting.plans = plans_sets_waiting(&lists->plans);
	return waiting;
}

lists_t *
lists_create(const char *self, lists_compatible_t compatible, void *data)
{
	lists_t *lists = g_new0(lists_t, 1);

	g_strlcpy(lists->self, self, sizeof(lists->self));
	lists->compatible = compatible;
	lists->compatible_data = data;
	for (int i = 0; i < LIST_COUNT; i++) {
		lists->in_force[i].kind = (list_kind_t)i;
		lists->waiting[i].kind = (list_kind_t)i;
	}
	plans_sets_init(&lists->plans);
	lists->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return lists;
}

void
lists_destroy(lists_t *lists)
{
	if (lists == NULL)
		return;
	for (int i = 0; i < LIST_COUNT; i++) {
		list_any_clear(&lists->in_force[i]);
		list_any_clear(&lists->waiting[i]);
	}
	plans_sets_clear(&lists->plans);
	g_hash_table_destroy(lists->peers);
	g_free(lists);
}

const char *
lists_verdict_name(lists_verdict_t verdict)
{
	switch (verdict) {
	case LISTS_ADOPT:
		return "adopted";
	case LISTS_SAME:
		return "same";
	case LISTS_BEHIND:
		return "list_reverted";
	case LISTS_CONFLICT:
		return "list_conflict";
	case LISTS_DUPLICATE:
		return "duplicate_key";
	case LISTS_WAITING:
		break;
	}
	return "waiting";
}

static bool
has_digest(const list_any_t *list, const list_stamp_t *stamp)
{
	return memcmp(list->head->digest, stamp->digest, DIGEST_BYTES) == 0;
}

lists_verdict_t
lists_compare(const lists_t *lists, list_kind_t kind, const list_stamp_t *stamp)
{
	const list_any_t *in_force = &lists->in_force[kind];
	list_any_t waiting = list_waiting(lists, kind);

	if (stamp->version == 0 || stamp->version < list_version(in_force))
		return LISTS_BEHIND;
	if (stamp->version == list_version(in_force))
		return has_digest(in_force, stamp) ? LISTS_SAME
						   : LISTS_CONFLICT;
	/* The version of one part can't be compared with that of the whole. */
	if (kind == LIST_PLANS && waiting.plans != NULL &&
	    plans_parts(waiting.plans) > 1)
		return LISTS_ADOPT;
	if (stamp->version == list_version(&waiting))
		return has_digest(&waiting, stamp) ? LISTS_WAITING
						   : LISTS_CONFLICT;
	return LISTS_ADOPT;
}

/* Puts a list into force and drops a waiting one that isn't newer. */
static void
list_adopt(lists_t *lists, list_any_t list, lists_offer_t *offer)
{
	list_any_t *waiting = &lists->waiting[list.kind];

	list_replace(&lists->in_force[list.kind], list);
	if (list_version(waiting) <= list.head->version)
		list_any_clear(waiting);
	offer->changed[list.kind] = true;
}

typedef struct {
	const lists_t *lists;
	const allowances_t *allowances;
} pair_check_t;

static bool
part_is_compatible(const plans_t *part, void *data)
{
	const pair_check_t *check = data;

	return check->lists->compatible(
	    part, check->allowances, check->lists->compatible_data);
}

/*
 * Puts the newest plans that are compatible with these allowances into force
 * together with them. Returns whether anything changed.
 */
static bool
pair_try_adopt(lists_t *lists, plans_t *offered, list_any_t allowances,
    lists_offer_t *offer, bool *duplicate)
{
	pair_check_t check = {lists, allowances.allowances};
	bool allowances_in_force =
	    allowances.head == lists->in_force[LIST_ALLOWANCES].head;
	plans_selection_t selection;
	bool found;

	if (allowances.head == NULL)
		return false;
	found = plans_sets_select(&lists->plans, offered, part_is_compatible,
	    &check, allowances_in_force, &selection);
	*duplicate = *duplicate || selection.key_conflict;
	if (!found || (allowances_in_force && !selection.changed))
		return false;
	if (selection.changed) {
		list_any_t whole = {.kind = LIST_PLANS};

		plans_sets_adopt(&lists->plans, &selection);
		whole.plans = lists->plans.whole;
		list_replace(&lists->in_force[LIST_PLANS], whole);
		offer->changed[LIST_PLANS] = true;
	}
	if (!allowances_in_force)
		list_adopt(lists, allowances, offer);
	return true;
}

/* Adopts all compatible pairs, with the waiting allowances or those in force.
 */
static bool
pairs_adopt(
    lists_t *lists, plans_t *offered, lists_offer_t *offer, bool *duplicate)
{
	bool changed = false;

	/* Ends, as each iteration adopts a list that waited or was offered. */
	while (pair_try_adopt(lists, offered, lists->waiting[LIST_ALLOWANCES],
		   offer, duplicate) ||
	       pair_try_adopt(lists, offered, lists->in_force[LIST_ALLOWANCES],
		   offer, duplicate)) {
		changed = true;
		offered = NULL;
	}
	return changed;
}

static lists_verdict_t
plans_verdict(plans_verdict_t verdict)
{
	switch (verdict) {
	case PLANS_SAME:
		return LISTS_SAME;
	case PLANS_BEHIND:
		return LISTS_BEHIND;
	case PLANS_CONFLICT:
		return LISTS_CONFLICT;
	case PLANS_WAITING:
		return LISTS_WAITING;
	case PLANS_NEW:
		break;
	}
	return LISTS_ADOPT;
}

/*
 * Adopts a part if a compatible pair contains it, else keeps it waiting. On a
 * new instance no allowances are in force, so its first two lists come into
 * force together.
 */
static void
offer_plans(lists_t *lists, plans_t *part, lists_offer_t *offer)
{
	bool duplicate = false;

	offer->verdict =
	    plans_verdict(plans_sets_classify(&lists->plans, part));
	if (offer->verdict != LISTS_ADOPT)
		return;
	pairs_adopt(lists, part, offer, &duplicate);
	if (plans_sets_in_force(&lists->plans, part))
		return;
	offer->verdict = duplicate ? LISTS_DUPLICATE : LISTS_WAITING;
	if (plans_sets_classify(&lists->plans, part) != PLANS_NEW ||
	    !plans_sets_add_waiting(&lists->plans, part))
		offer->verdict = LISTS_BEHIND;
}

static void
offer_allowances(lists_t *lists, list_any_t list, lists_offer_t *offer)
{
	bool duplicate = false;

	if (pair_try_adopt(lists, NULL, list, offer, &duplicate)) {
		pairs_adopt(lists, NULL, offer, &duplicate);
		return;
	}
	offer->verdict = LISTS_WAITING;
	if (list.head->version > list_version(&lists->waiting[list.kind]))
		list_replace(&lists->waiting[list.kind], list);
	else
		offer->verdict = LISTS_BEHIND;
}

lists_offer_t
lists_offer(lists_t *lists, list_any_t list, time_us_t now)
{
	lists_offer_t offer = {.verdict = LISTS_BEHIND};
	list_stamp_t stamp = {.version = list.head->version};
	bool first_fleet = lists->in_force[LIST_FLEET].head == NULL;

	if (list.kind == LIST_PLANS) {
		offer_plans(lists, list.plans, &offer);
		return offer;
	}
	memcpy(stamp.digest, list.head->digest, sizeof(stamp.digest));
	offer.verdict = lists_compare(lists, list.kind, &stamp);
	if (offer.verdict != LISTS_ADOPT)
		return offer;
	if (list.kind == LIST_ALLOWANCES) {
		offer_allowances(lists, list, &offer);
		return offer;
	}
	list_adopt(lists, list, &offer);
	if (first_fleet)
		lists->fleet_adopted_at = now;
	return offer;
}

void
lists_mark_refused(lists_t *lists, list_kind_t kind, const list_stamp_t *stamp)
{
	lists->refused[kind] = *stamp;
}

void
lists_mark_part_refused(lists_t *lists, const plans_skip_t *part)
{
	lists->refused_parts[lists->n_refused_parts++ % REFUSED_PARTS] = *part;
	/* Counts as a change, so that parts are requested again, without this
	 * one.
	 */
	lists->plans.changes++;
}

void
lists_plans_held(const lists_t *lists, plans_held_t *held)
{
	uint32_t n = MIN(lists->n_refused_parts, REFUSED_PARTS);

	plans_sets_held(&lists->plans, held);
	for (uint32_t i = 0; i < n && held->n_skip < PLANS_SKIP_LIMIT; i++)
		held->skip[held->n_skip++] = lists->refused_parts[i];
}

const plans_t *
lists_plans_missing(const lists_t *lists, const plans_held_t *held)
{
	return plans_sets_missing(&lists->plans, held);
}

uint32_t
lists_plans_published(const lists_t *lists)
{
	const list_any_t *newest = &lists->waiting[LIST_ALLOWANCES];

	if (newest->head == NULL)
		newest = &lists->in_force[LIST_ALLOWANCES];
	return newest->head == NULL ? 0
				    : MAX(newest->allowances->plans_parts, 1);
}

uint32_t
lists_plans_parts(const lists_t *lists)
{
	const plans_t *plans = lists->in_force[LIST_PLANS].plans;

	return plans == NULL ? 0 : plans_parts(plans);
}

lists_view_t
lists_view(const lists_t *lists)
{
	return (lists_view_t){
	    .plans = plans_ref(lists->in_force[LIST_PLANS].plans),
	    .allowances =
		allowances_ref(lists->in_force[LIST_ALLOWANCES].allowances),
	    .fleet = fleet_ref(lists->in_force[LIST_FLEET].fleet)};
}

void
lists_view_clear(lists_view_t *view)
{
	plans_unref(view->plans);
	allowances_unref(view->allowances);
	fleet_unref(view->fleet);
	memset(view, 0, sizeof(*view));
}

list_any_t
lists_get(const lists_t *lists, list_kind_t kind)
{
	return list_any_ref(lists->in_force[kind]);
}

uint64_t
lists_version(const lists_t *lists, list_kind_t kind)
{
	return list_version(&lists->in_force[kind]);
}

uint64_t
lists_waiting(const lists_t *lists, list_kind_t kind)
{
	list_any_t waiting = list_waiting(lists, kind);

	return list_version(&waiting);
}

void
lists_fill_adopted(const lists_t *lists, heartbeat_t *heartbeat)
{
	memset(heartbeat->adopted, 0, sizeof(heartbeat->adopted));
	for (int i = 0; i < LIST_COUNT; i++) {
		const list_head_t *head = lists->in_force[i].head;
		list_stamp_t *stamp = &heartbeat->adopted[i];

		if (head == NULL)
			continue;
		stamp->version = head->version;
		memcpy(stamp->digest, head->digest, sizeof(stamp->digest));
	}
}

/*
 * Whether a peer's list is worth a fetch. This includes a list older than the
 * waiting one: it may be compatible, and a new instance has no other.
 */
static bool
list_is_useful(
    const lists_t *lists, list_kind_t kind, const list_stamp_t *stamp)
{
	const list_stamp_t *refused = &lists->refused[kind];

	if (lists_compare(lists, kind, stamp) != LISTS_ADOPT)
		return false;
	return refused->version != stamp->version ||
	       memcmp(refused->digest, stamp->digest, DIGEST_BYTES) != 0;
}

/* Whether the peer had no part that we lack, and nothing changed since. */
static bool
peer_has_no_part(const lists_t *lists, const known_peer_t *known)
{
	return known->no_part_changes == lists->plans.changes + 1 &&
	       memcmp(known->no_part_digest, known->adopted[LIST_PLANS].digest,
		   DIGEST_BYTES) == 0;
}

/*
 * Whether a peer's parts, whose whole has no higher version, have differed from
 * ours for LISTS_DIVERGED_US: then each side may lack some. A peer that was
 * only late has caught up by then.
 */
static bool
plans_diverge(const lists_t *lists, const known_peer_t *known, time_us_t now)
{
	const list_stamp_t *stamp = &known->adopted[LIST_PLANS];
	const list_any_t *ours = &lists->in_force[LIST_PLANS];

	return ours->head != NULL && plans_parts(ours->plans) > 1 &&
	       stamp->version > 0 && !has_digest(ours, stamp) &&
	       known->differs_changes == lists->plans.changes &&
	       now >= known->differs_at + LISTS_DIVERGED_US;
}

static bool
peer_is_useful(const lists_t *lists, list_kind_t kind,
    const known_peer_t *known, time_us_t now)
{
	bool useful = list_is_useful(lists, kind, &known->adopted[kind]);

	if (kind != LIST_PLANS)
		return useful;
	return (useful || plans_diverge(lists, known, now)) &&
	       !peer_has_no_part(lists, known);
}

static bool
fetch_start(fetch_t *fetch, uint64_t version, uint64_t changes, time_us_t now)
{
	if (now < fetch->retry_at)
		return false;
	if (fetch->active && version <= fetch->version &&
	    now < fetch->started_at + LISTS_FETCH_US)
		return false;
	fetch->active = true;
	fetch->version = version;
	fetch->changes = changes;
	fetch->started_at = now;
	return true;
}

static gboolean
peer_is_unreachable(gpointer name, gpointer value, gpointer now)
{
	const known_peer_t *known = value;

	return known->last_seen + LISTS_REACHABLE_US < *(const time_us_t *)now;
}

/*
 * Records a peer's versions. Peers are authenticated, so LISTS_PEER_LIMIT is
 * rarely reached; then unreachable peers are dropped first.
 */
static known_peer_t *
peer_record(lists_t *lists, const heartbeat_t *peer, time_us_t now)
{
	known_peer_t *known = g_hash_table_lookup(lists->peers, peer->sender);

	if (known == NULL) {
		if (g_hash_table_size(lists->peers) >= LISTS_PEER_LIMIT)
			g_hash_table_foreach_remove(
			    lists->peers, peer_is_unreachable, &now);
		if (g_hash_table_size(lists->peers) >= LISTS_PEER_LIMIT)
			return NULL;
		known = g_new0(known_peer_t, 1);
		g_hash_table_insert(
		    lists->peers, g_strdup(peer->sender), known);
	}
	known->last_seen = now;
	if (known->differs_changes != lists->plans.changes ||
	    memcmp(&known->adopted[LIST_PLANS], &peer->adopted[LIST_PLANS],
		sizeof(list_stamp_t)) != 0) {
		known->differs_changes = lists->plans.changes;
		known->differs_at = now;
	}
	memcpy(known->adopted, peer->adopted, sizeof(known->adopted));
	return known;
}

void
lists_record_peer(lists_t *lists, const heartbeat_t *peer, time_us_t now)
{
	peer_record(lists, peer, now);
}

lists_wanted_t
lists_on_heartbeat(lists_t *lists, const heartbeat_t *peer, time_us_t now)
{
	lists_wanted_t wanted = {0};
	const known_peer_t *known = peer_record(lists, peer, now);

	if (known == NULL)
		return wanted;
	for (int i = 0; i < LIST_COUNT; i++) {
		const list_stamp_t *stamp = &peer->adopted[i];
		list_kind_t kind = (list_kind_t)i;

		if (lists_compare(lists, kind, stamp) == LISTS_CONFLICT)
			wanted.conflict[i] = true;
		if (peer_is_useful(lists, kind, known, now))
			wanted.fetch[i] = fetch_start(&lists->fetches[i],
			    stamp->version, lists->plans.changes, now);
	}
	return wanted;
}

void
lists_fetch_end(lists_t *lists, list_kind_t kind, bool got, time_us_t now)
{
	lists->fetches[kind].active = false;
	if (!got)
		lists->fetches[kind].retry_at = now + LISTS_RETRY_US;
}

bool
lists_plans_fetch_end(
    lists_t *lists, const char *peer, lists_fetch_t result, time_us_t now)
{
	fetch_t *fetch = &lists->fetches[LIST_PLANS];
	known_peer_t *known = g_hash_table_lookup(lists->peers, peer);
	const list_stamp_t *stamp;

	lists_fetch_end(lists, LIST_PLANS, result != LISTS_FETCH_FAILED, now);
	if (known == NULL || result == LISTS_FETCH_FAILED)
		return false;
	stamp = &known->adopted[LIST_PLANS];
	if (result == LISTS_FETCH_NOTHING ||
	    fetch->changes == lists->plans.changes) {
		known->no_part_changes = lists->plans.changes + 1;
		memcpy(known->no_part_digest, stamp->digest, DIGEST_BYTES);
		return false;
	}
	return list_is_useful(lists, LIST_PLANS, stamp) &&
	       fetch_start(fetch, stamp->version, lists->plans.changes, now);
}

bool
lists_seen_since(const lists_t *lists, const char *name, time_us_t since)
{
	const known_peer_t *known = g_hash_table_lookup(lists->peers, name);

	return known != NULL && known->last_seen >= since;
}

static bool
all_peers_seen(const lists_t *lists)
{
	const fleet_t *fleet = lists->in_force[LIST_FLEET].fleet;

	for (size_t i = 0; i < fleet->n_instances; i++) {
		const char *name = fleet->instances[i].name;

		if (strcmp(name, lists->self) != 0 &&
		    !g_hash_table_contains(lists->peers, name))
			return false;
	}
	return true;
}

static bool
reachable_peer_is_ahead(const lists_t *lists, time_us_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, lists->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const known_peer_t *known = value;

		if (known->last_seen + LISTS_REACHABLE_US < now)
			continue;
		for (int i = 0; i < LIST_COUNT; i++) {
			if (list_is_useful(
				lists, (list_kind_t)i, &known->adopted[i]) &&
			    (i != LIST_PLANS ||
				!peer_has_no_part(lists, known)))
				return true;
		}
	}
	return false;
}

bool
lists_ready(lists_t *lists, time_us_t now)
{
	if (lists->ready)
		return true;
	for (int i = 0; i < LIST_COUNT; i++) {
		if (lists->in_force[i].head == NULL)
			return false;
	}
	if (now < lists->fleet_adopted_at + LISTS_STARTUP_WAIT_US &&
	    !all_peers_seen(lists))
		return false;
	lists->ready = !reachable_peer_is_ahead(lists, now);
	return lists->ready;
}

time_us_t
read_backoff(unsigned attempt, uint64_t seed)
{
	time_us_t max = BACKOFF_FIRST_MAX_US;
	uint64_t random = XXH64(&attempt, sizeof(attempt), seed);

	for (unsigned i = 0; i < attempt && max < BACKOFF_MAX_US; i++)
		max *= 2;
	max = MIN(max, BACKOFF_MAX_US);
	return BACKOFF_MIN_US +
	       (time_us_t)(random % (uint64_t)(max - BACKOFF_MIN_US + 1));
}
