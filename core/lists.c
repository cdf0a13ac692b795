#include "core/lists.h"

#include <string.h>
#include <xxhash.h>

#define BACKOFF_LEAST_US (1 * US_PER_S)
#define BACKOFF_FIRST_US (4 * US_PER_S)
#define BACKOFF_MOST_US (30 * US_PER_S)

typedef struct {
	bool active;
	uint64_t version;
	time_us_t started_at;
	time_us_t retry_at;
} fetch_t;

typedef struct {
	time_us_t heard_at;
	list_stamp_t adopted[LIST_COUNT];
} heard_t;

struct lists {
	char self[NAME_LIMIT + 1];
	lists_fits_t fits;
	void *fits_data;
	list_any_t in_force[LIST_COUNT];
	list_any_t waiting[LIST_COUNT];
	list_stamp_t refused[LIST_COUNT]; /* the last text refused */
	fetch_t fetches[LIST_COUNT];
	GHashTable *heard; /* instance name -> heard_t */
	time_us_t fleet_at;
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
list_replace(list_any_t *place, list_any_t list)
{
	list_any_t old = *place;

	*place = list_any_ref(list);
	list_any_clear(&old);
}

static uint64_t
list_version(const list_any_t *list)
{
	return list->head == NULL ? 0 : list->head->version;
}

lists_t *
lists_create(const char *self, lists_fits_t fits, void *data)
{
	lists_t *lists = g_new0(lists_t, 1);

	g_strlcpy(lists->self, self, sizeof(lists->self));
	lists->fits = fits;
	lists->fits_data = data;
	for (int i = 0; i < LIST_COUNT; i++) {
		lists->in_force[i].kind = (list_kind_t)i;
		lists->waiting[i].kind = (list_kind_t)i;
	}
	lists->heard =
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
	g_hash_table_destroy(lists->heard);
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
	case LISTS_WAIT:
		break;
	}
	return "waiting";
}

static bool
same_content(const list_any_t *list, const list_stamp_t *stamp)
{
	return memcmp(list->head->digest, stamp->digest, DIGEST_BYTES) == 0;
}

lists_verdict_t
lists_compare(const lists_t *lists, list_kind_t kind, const list_stamp_t *stamp)
{
	const list_any_t *in_force = &lists->in_force[kind];
	const list_any_t *waiting = &lists->waiting[kind];

	if (stamp->version == 0 || stamp->version < list_version(in_force))
		return LISTS_BEHIND;
	if (stamp->version == list_version(in_force))
		return same_content(in_force, stamp) ? LISTS_SAME
						     : LISTS_CONFLICT;
	if (stamp->version == list_version(waiting))
		return same_content(waiting, stamp) ? LISTS_WAIT
						    : LISTS_CONFLICT;
	return LISTS_ADOPT;
}

/* Puts a list into force; an older one that waits is not needed any more. */
static void
list_adopt(lists_t *lists, list_any_t list, lists_offer_t *offer)
{
	list_any_t *waiting = &lists->waiting[list.kind];

	list_replace(&lists->in_force[list.kind], list);
	if (list_version(waiting) <= list.head->version)
		list_any_clear(waiting);
	offer->changed[list.kind] = true;
}

static bool
pair_fits(const lists_t *lists, list_any_t list, list_any_t partner)
{
	if (partner.head == NULL)
		return false;
	if (list.kind == LIST_PLANS)
		return lists->fits(
		    list.plans, partner.allowances, lists->fits_data);
	return lists->fits(partner.plans, list.allowances, lists->fits_data);
}

/*
 * Adopts a plans or allowances list with a waiting partner, or with the partner
 * in force, or lets it wait. A fresh instance has no partner in force, so its
 * first two lists come into force together.
 */
static void
offer_paired(lists_t *lists, list_any_t list, lists_offer_t *offer)
{
	list_kind_t other =
	    list.kind == LIST_PLANS ? LIST_ALLOWANCES : LIST_PLANS;
	list_any_t waiting = lists->waiting[other];

	if (pair_fits(lists, list, waiting)) {
		list_adopt(lists, waiting, offer);
		list_adopt(lists, list, offer);
		return;
	}
	if (pair_fits(lists, list, lists->in_force[other])) {
		list_adopt(lists, list, offer);
		return;
	}
	offer->verdict = LISTS_WAIT;
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

	memcpy(stamp.digest, list.head->digest, sizeof(stamp.digest));
	offer.verdict = lists_compare(lists, list.kind, &stamp);
	if (offer.verdict != LISTS_ADOPT)
		return offer;
	if (list.kind != LIST_FLEET) {
		offer_paired(lists, list, &offer);
		return offer;
	}
	list_adopt(lists, list, &offer);
	if (first_fleet)
		lists->fleet_at = now;
	return offer;
}

void
lists_refused(lists_t *lists, list_kind_t kind, const list_stamp_t *stamp)
{
	lists->refused[kind] = *stamp;
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
	return list_version(&lists->waiting[kind]);
}

void
lists_fill(const lists_t *lists, heartbeat_t *heartbeat)
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
 * Tells whether a peer's list would be of use. A list lower than the one that
 * waits is: it may fit, and a fresh instance has nothing else.
 */
static bool
list_useful(const lists_t *lists, list_kind_t kind, const list_stamp_t *stamp)
{
	const list_stamp_t *refused = &lists->refused[kind];

	if (lists_compare(lists, kind, stamp) != LISTS_ADOPT)
		return false;
	return refused->version != stamp->version ||
	       memcmp(refused->digest, stamp->digest, DIGEST_BYTES) != 0;
}

static bool
fetch_start(fetch_t *fetch, uint64_t version, time_us_t now)
{
	if (now < fetch->retry_at)
		return false;
	if (fetch->active && version <= fetch->version &&
	    now < fetch->started_at + LISTS_FETCH_US)
		return false;
	fetch->active = true;
	fetch->version = version;
	fetch->started_at = now;
	return true;
}

static gboolean
heard_is_old(gpointer name, gpointer value, gpointer now)
{
	const heard_t *heard = value;

	return heard->heard_at + LISTS_HEARD_US < *(const time_us_t *)now;
}

/* Records a peer's versions. Peers are authenticated, so few are too many. */
static void
heard_record(lists_t *lists, const heartbeat_t *peer, time_us_t now)
{
	heard_t *heard = g_hash_table_lookup(lists->heard, peer->sender);

	if (heard == NULL) {
		if (g_hash_table_size(lists->heard) >= LISTS_PEER_LIMIT)
			g_hash_table_foreach_remove(
			    lists->heard, heard_is_old, &now);
		if (g_hash_table_size(lists->heard) >= LISTS_PEER_LIMIT)
			return;
		heard = g_new0(heard_t, 1);
		g_hash_table_insert(
		    lists->heard, g_strdup(peer->sender), heard);
	}
	heard->heard_at = now;
	memcpy(heard->adopted, peer->adopted, sizeof(heard->adopted));
}

lists_wanted_t
lists_wanted(lists_t *lists, const heartbeat_t *peer, time_us_t now)
{
	lists_wanted_t wanted = {0};

	heard_record(lists, peer, now);
	for (int i = 0; i < LIST_COUNT; i++) {
		const list_stamp_t *stamp = &peer->adopted[i];
		list_kind_t kind = (list_kind_t)i;

		if (lists_compare(lists, kind, stamp) == LISTS_CONFLICT)
			wanted.conflict[i] = true;
		if (list_useful(lists, kind, stamp))
			wanted.fetch[i] = fetch_start(
			    &lists->fetches[i], stamp->version, now);
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

static bool
all_heard(const lists_t *lists)
{
	const fleet_t *fleet = lists->in_force[LIST_FLEET].fleet;

	for (size_t i = 0; i < fleet->n_instances; i++) {
		const char *name = fleet->instances[i].name;

		if (strcmp(name, lists->self) != 0 &&
		    !g_hash_table_contains(lists->heard, name))
			return false;
	}
	return true;
}

static bool
reachable_peer_is_ahead(const lists_t *lists, time_us_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, lists->heard);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const heard_t *heard = value;

		if (heard->heard_at + LISTS_HEARD_US < now)
			continue;
		for (int i = 0; i < LIST_COUNT; i++) {
			if (list_useful(
				lists, (list_kind_t)i, &heard->adopted[i]))
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
	if (now < lists->fleet_at + LISTS_EXCHANGE_US && !all_heard(lists))
		return false;
	lists->ready = !reachable_peer_is_ahead(lists, now);
	return lists->ready;
}

time_us_t
read_backoff(unsigned attempt, uint64_t seed)
{
	time_us_t most = BACKOFF_FIRST_US;
	uint64_t random = XXH64(&attempt, sizeof(attempt), seed);

	for (unsigned i = 0; i < attempt && most < BACKOFF_MOST_US; i++)
		most *= 2;
	most = MIN(most, BACKOFF_MOST_US);
	return BACKOFF_LEAST_US +
	       (time_us_t)(random % (uint64_t)(most - BACKOFF_LEAST_US + 1));
}
