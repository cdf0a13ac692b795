#include "core/members.h"

#include <glib.h>
#include <string.h>

#include "core/random.h"

/* Rounds between messages to a seed, and to an instance that seems dead. */
#define SEED_ROUNDS 8
#define DEAD_ROUNDS 4

/* Rounds after the start that send to all seeds. */
#define JOIN_ROUNDS 12

struct members {
	const topology_t *topology;
	member_entry_t self;
	int own_region;
	GPtrArray *all;
	GHashTable *by_ip;
	uint32_t *seeds;
	size_t n_seeds;
	uint64_t random;
	uint32_t rounds;
	time_us_t started_at;
	time_us_t majority_since; /* hears most of its region; 0: it doesn't */
};

members_t *
members_create(const topology_t *topology, const member_entry_t *self,
    const uint32_t *seeds, size_t n_seeds, uint64_t random, time_us_t now)
{
	members_t *members = g_new0(members_t, 1);

	members->topology = topology;
	members->self = *self;
	members->own_region = topology_region_of(topology, self->zone);
	members->all = g_ptr_array_new_with_free_func(g_free);
	members->by_ip = g_hash_table_new(NULL, NULL);
	members->seeds = g_memdup2(seeds, n_seeds * sizeof(*seeds));
	members->n_seeds = n_seeds;
	members->random = random;
	members->started_at = now;
	return members;
}

void
members_destroy(members_t *members)
{
	g_hash_table_destroy(members->by_ip);
	g_ptr_array_unref(members->all);
	g_free(members->seeds);
	g_free(members);
}

void
members_set_ready(members_t *members, bool ready)
{
	members->self.ready = ready;
}

void
members_set_leaving(members_t *members)
{
	members->self.leaving = true;
}

void
members_set_lost(members_t *members, bool lost)
{
	members->self.lost = lost;
}

const member_entry_t *
members_self(const members_t *members)
{
	return &members->self;
}

static int
member_region(const members_t *members, const member_t *member)
{
	return topology_region_of(members->topology, member->entry.zone);
}

static member_place_t
member_place(const members_t *members, const member_t *member)
{
	if (member->entry.zone == members->self.zone)
		return MEMBER_SAME_ZONE;
	return member_region(members, member) == members->own_region
		   ? MEMBER_SAME_REGION
		   : MEMBER_OTHER_REGION;
}

bool
members_is_live(const members_t *members, const member_t *member, time_us_t now)
{
	time_us_t timeout =
	    member_region(members, member) == members->own_region
		? MEMBER_LOCAL_TIMEOUT_US
		: MEMBER_REMOTE_TIMEOUT_US;

	return now - member->last_seen < timeout;
}

static void
peer_add(uint32_t *peers, size_t *n, size_t limit, uint32_t ip)
{
	for (size_t i = 0; i < *n; i++) {
		if (peers[i] == ip)
			return;
	}
	if (*n < limit)
		peers[(*n)++] = ip;
}

/* Adds up to fanout live instances at that place. */
static void
peers_add_live(members_t *members, member_place_t place, size_t fanout,
    time_us_t now, uint32_t *peers, size_t *n, size_t limit)
{
	guint len = members->all->len;
	guint start =
	    len > 0 ? (guint)(random_next(&members->random) % len) : 0;
	size_t added = 0;

	/* A random start alone would favour members that follow skipped ones.
	 */
	for (guint step = 0; step < len && added < fanout; step++) {
		guint at = (start + step) % len;
		guint swap =
		    (start + step +
			(guint)(random_next(&members->random) % (len - step))) %
		    len;
		gpointer *pdata = members->all->pdata;
		gpointer swapped = pdata[at];
		const member_t *member;

		pdata[at] = pdata[swap];
		pdata[swap] = swapped;
		member = pdata[at];
		if (member_place(members, member) != place ||
		    !members_is_live(members, member, now))
			continue;
		peer_add(peers, n, limit, member->entry.ip);
		added++;
	}
}

static void
peers_add_dead(
    members_t *members, time_us_t now, uint32_t *peers, size_t *n, size_t limit)
{
	guint len = members->all->len;
	guint start =
	    len > 0 ? (guint)(random_next(&members->random) % len) : 0;

	for (guint i = 0; i < len; i++) {
		const member_t *member =
		    g_ptr_array_index(members->all, (start + i) % len);

		if (!members_is_live(members, member, now)) {
			peer_add(peers, n, limit, member->entry.ip);
			return;
		}
	}
}

size_t
members_at(const members_t *members, member_place_t place, time_us_t now,
    uint32_t *ips, size_t limit)
{
	size_t n = 0;

	for (guint i = 0; i < members->all->len && n < limit; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member_place(members, member) == place &&
		    members_is_live(members, member, now))
			ips[n++] = member->entry.ip;
	}
	return n;
}

static void
members_forget(members_t *members, time_us_t now)
{
	for (guint i = members->all->len; i > 0; i--) {
		const member_t *member = g_ptr_array_index(members->all, i - 1);

		if (now - member->last_seen < MEMBER_FORGET_US)
			continue;
		g_hash_table_remove(
		    members->by_ip, GUINT_TO_POINTER(member->entry.ip));
		g_ptr_array_remove_index_fast(members->all, i - 1);
	}
}

/* Whether the member may run, though it isn't heard: it hasn't stopped. */
static bool
may_run(const members_t *members, const member_t *member, time_us_t now)
{
	return !member->entry.leaving || members_is_live(members, member, now);
}

bool
members_hears_most(const members_t *members, time_us_t max_age, time_us_t now)
{
	uint32_t n_heard = 1;
	uint32_t n = 1;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (!may_run(members, member, now))
			continue;
		n++;
		n_heard += now - member->last_seen <= max_age;
	}
	return 2 * n_heard > n;
}

uint32_t
members_n_known(const members_t *members, time_us_t now)
{
	uint32_t by_zone[TOPOLOGY_ZONE_LIMIT] = {0};
	uint32_t n = 0;

	by_zone[members->self.zone] = 1;
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member_region(members, member) == members->own_region &&
		    may_run(members, member, now))
			by_zone[member->entry.zone]++;
	}
	for (int zone = 0; zone < topology_n_zones(members->topology); zone++) {
		if (topology_region_of(members->topology, zone) !=
		    members->own_region)
			continue;
		if (by_zone[zone] == 0 &&
		    now - members->started_at < MEMBER_FORGET_US)
			n += by_zone[members->self.zone];
		n += by_zone[zone];
	}
	return n;
}

/*
 * Right after a cut has healed, an instance hears most of its region, but maybe
 * not those that are responsible; majority_since tells for how long it does.
 */
static void
majority_update(members_t *members, time_us_t now)
{
	uint32_t n_live = members_n_live(members, members->own_region, now);

	if (2 * n_live <= members_n_known(members, now))
		members->majority_since = 0;
	else if (members->majority_since == 0)
		members->majority_since = now;
}

size_t
members_begin_round(
    members_t *members, time_us_t now, uint32_t *peers, size_t limit)
{
	size_t n = 0;

	members->self.heartbeat++;
	members->rounds++;
	members_forget(members, now);
	majority_update(members, now);
	peers_add_live(members, MEMBER_SAME_ZONE, MEMBER_ZONE_FANOUT, now,
	    peers, &n, limit);
	peers_add_live(members, MEMBER_SAME_REGION, MEMBER_LOCAL_FANOUT, now,
	    peers, &n, limit);
	peers_add_live(members, MEMBER_OTHER_REGION, MEMBER_REMOTE_FANOUT, now,
	    peers, &n, limit);
	if (members->rounds % DEAD_ROUNDS == 0)
		peers_add_dead(members, now, peers, &n, limit);
	for (size_t i = 0; i < members->n_seeds; i++) {
		if (members->seeds[i] == members->self.ip)
			continue;
		if (members->rounds <= JOIN_ROUNDS || n == 0 ||
		    members->rounds % SEED_ROUNDS == i % SEED_ROUNDS)
			peer_add(peers, &n, limit, members->seeds[i]);
	}
	return n;
}

size_t
members_digest(
    members_t *members, time_us_t now, member_entry_t *entries, size_t limit)
{
	guint len = members->all->len;
	guint start =
	    len > 0 ? (guint)(random_next(&members->random) % len) : 0;
	size_t n = 0;

	if (limit == 0)
		return 0;
	entries[n] = members->self;
	entries[n++].age_ms = 0;
	for (guint i = 0; i < len && n < limit; i++) {
		const member_t *member =
		    g_ptr_array_index(members->all, (start + i) % len);

		if (!members_is_live(members, member, now))
			continue;
		entries[n] = member->entry;
		entries[n++].age_ms =
		    (uint32_t)((now - member->last_seen) / US_PER_MS);
	}
	return n;
}

static bool
entry_is_newer(const member_entry_t *a, const member_entry_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->heartbeat > b->heartbeat;
}

static void
entry_merge(members_t *members, const member_entry_t *entry, time_us_t now)
{
	time_us_t last_seen = now - (time_us_t)entry->age_ms * US_PER_MS;
	member_t *member;

	if (entry->ip == members->self.ip) {
		if (entry->incarnation > members->self.incarnation)
			members->self.incarnation = entry->incarnation + 1;
		return;
	}
	if (topology_region_of(members->topology, entry->zone) == TOPOLOGY_NONE)
		return;
	member =
	    g_hash_table_lookup(members->by_ip, GUINT_TO_POINTER(entry->ip));
	if (member == NULL) {
		if (members->all->len >= MEMBER_LIMIT)
			return;
		member = g_new0(member_t, 1);
		g_ptr_array_add(members->all, member);
		g_hash_table_insert(
		    members->by_ip, GUINT_TO_POINTER(entry->ip), member);
	} else if (!entry_is_newer(entry, &member->entry)) {
		return;
	} else {
		last_seen = MAX(last_seen, member->last_seen);
	}
	member->entry = *entry;
	member->last_seen = last_seen;
}

void
members_merge(members_t *members, const member_entry_t *entries,
    size_t n_entries, time_us_t now)
{
	for (size_t i = 0; i < n_entries; i++)
		entry_merge(members, &entries[i], now);
}

const member_t *
members_find(const members_t *members, uint32_t ip)
{
	return g_hash_table_lookup(members->by_ip, GUINT_TO_POINTER(ip));
}

uint32_t
members_n_live(const members_t *members, int region, time_us_t now)
{
	uint32_t n = region == TOPOLOGY_NONE || region == members->own_region;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if ((region == TOPOLOGY_NONE ||
			member_region(members, member) == region) &&
		    members_is_live(members, member, now))
			n++;
	}
	return n;
}

static uint64_t
rendezvous(uint64_t key, uint32_t ip)
{
	uint64_t state = key * UINT64_C(0x9e3779b97f4a7c15) ^ ip;

	random_next(&state);
	return random_next(&state);
}

/* Whether this instance is one of the count highest up to that place. */
static bool
is_responsible(const members_t *members, uint64_t key, uint32_t count,
    member_place_t place, time_us_t now)
{
	uint64_t own = rendezvous(key, members->self.ip);
	uint32_t higher = 0;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member_place(members, member) <= place &&
		    members_is_live(members, member, now) &&
		    rendezvous(key, member->entry.ip) > own)
			higher++;
	}
	return higher < count;
}

bool
members_is_responsible(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now)
{
	return is_responsible(members, key, count, MEMBER_SAME_REGION, now);
}

bool
members_is_zone_responsible(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now)
{
	return is_responsible(members, key, count, MEMBER_SAME_ZONE, now);
}

static bool
has_other_seed(const members_t *members)
{
	for (size_t i = 0; i < members->n_seeds; i++) {
		if (members->seeds[i] != members->self.ip)
			return true;
	}
	return false;
}

/*
 * Number of the region's instances that come before this one for key, of those
 * that may run and were seen within this time.
 */
static uint32_t
n_before(const members_t *members, uint64_t key, time_us_t seen_within,
    time_us_t now)
{
	uint64_t own = rendezvous(key, members->self.ip);
	uint32_t n = 0;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member_region(members, member) == members->own_region &&
		    now - member->last_seen < seen_within &&
		    may_run(members, member, now) &&
		    rendezvous(key, member->entry.ip) > own)
			n++;
	}
	return n;
}

bool
members_is_isolated(const members_t *members, time_us_t now)
{
	if (members->all->len == 0 && !has_other_seed(members))
		return false;
	return members->majority_since == 0 ||
	       (members_n_known(members, now) == 1 &&
		   members_n_live(members, TOPOLOGY_NONE, now) == 1);
}

bool
members_may_use_share(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now)
{
	uint32_t n_known = members_n_known(members, now);

	if (members->all->len == 0 && has_other_seed(members) &&
	    now - members->started_at < MEMBER_FORGET_US)
		return false;
	if (n_known <= count + 1)
		return n_before(members, key, MEMBER_LOCAL_TIMEOUT_US, now) <
		       count;
	if (members->majority_since != 0 &&
	    now - members->majority_since >= MEMBER_LOCAL_TIMEOUT_US)
		return n_before(members, key, MEMBER_SHARE_TIMEOUT_US, now) <
		       count;
	return n_before(members, key, MEMBER_FORGET_US, now) == 0;
}

size_t
members_responsible(const members_t *members, uint64_t key, uint32_t count,
    time_us_t now, uint32_t *ips)
{
	if (members_is_responsible(members, key, count, now))
		return 0;
	return members_first(
	    members, members->own_region, key, count, now, ips);
}

size_t
members_first(const members_t *members, int region, uint64_t key,
    uint32_t count, time_us_t now, uint32_t *ips)
{
	uint64_t limit = UINT64_MAX;
	size_t n = 0;

	while (n < count) {
		uint64_t best = 0;
		uint32_t ip = 0;

		for (guint i = 0; i < members->all->len; i++) {
			const member_t *member =
			    g_ptr_array_index(members->all, i);
			uint64_t score = rendezvous(key, member->entry.ip);

			if (member_region(members, member) == region &&
			    members_is_live(members, member, now) &&
			    score < limit && score >= best) {
				best = score;
				ip = member->entry.ip;
			}
		}
		if (ip == 0)
			break;
		ips[n++] = ip;
		limit = best;
	}
	return n;
}

static bool
accepts_requests(
    const members_t *members, const member_t *member, time_us_t now)
{
	return member->entry.ready && !member->entry.leaving &&
	       members_is_live(members, member, now);
}

size_t
members_pick_in_zones(members_t *members, uint32_t per_zone, time_us_t now,
    uint32_t *ips, size_t limit)
{
	uint32_t picked[TOPOLOGY_ZONE_LIMIT] = {0};
	size_t n = 0;
	guint start;

	if (members->all->len == 0)
		return 0;
	start = (guint)(random_next(&members->random) % members->all->len);
	for (guint i = 0; i < members->all->len && n < limit; i++) {
		const member_t *member = g_ptr_array_index(
		    members->all, (start + i) % members->all->len);
		int zone = member->entry.zone;

		if (member_place(members, member) == MEMBER_SAME_ZONE ||
		    picked[zone] >= per_zone ||
		    !members_is_live(members, member, now))
			continue;
		picked[zone]++;
		ips[n++] = member->entry.ip;
	}
	return n;
}

/* lost_too: also of those that reach no target. */
static const member_t *
pick(members_t *members, int region, uint32_t exclude, bool lost_too,
    time_us_t now)
{
	const member_t *picked = NULL;
	uint64_t n_seen = 0;

	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member->entry.ip == exclude ||
		    member_region(members, member) != region ||
		    (member->entry.lost && !lost_too) ||
		    !accepts_requests(members, member, now))
			continue;
		n_seen++;
		if (random_next(&members->random) % n_seen == 0)
			picked = member;
	}
	return picked;
}

const member_t *
members_pick(members_t *members, int region, uint32_t exclude, time_us_t now)
{
	return pick(members, region, exclude, true, now);
}

const member_t *
members_pick_serving(
    members_t *members, int region, uint32_t exclude, time_us_t now)
{
	return pick(members, region, exclude, false, now);
}

static bool
any_accepts(const members_t *members, int region, bool lost_too, time_us_t now)
{
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (member_region(members, member) == region &&
		    (lost_too || !member->entry.lost) &&
		    accepts_requests(members, member, now))
			return true;
	}
	return false;
}

bool
members_any_ready(const members_t *members, int region, time_us_t now)
{
	return any_accepts(members, region, true, now);
}

bool
members_any_serving(const members_t *members, int region, time_us_t now)
{
	return any_accepts(members, region, false, now);
}

static bool
any_live(const members_t *members, region_set_t regions, time_us_t now)
{
	if (region_set_has(regions, members->own_region))
		return true;
	for (guint i = 0; i < members->all->len; i++) {
		const member_t *member = g_ptr_array_index(members->all, i);

		if (region_set_has(regions, member_region(members, member)) &&
		    members_is_live(members, member, now))
			return true;
	}
	return false;
}

/* Which ready instances the directory names. */
typedef enum {
	NAME_SERVING, /* that reach targets */
	NAME_STAYING, /* that aren't leaving */
	NAME_LEAVING,
} directory_kind_t;

static bool
is_named(const member_entry_t *entry, directory_kind_t kind)
{
	switch (kind) {
	case NAME_SERVING:
		return !entry->leaving && !entry->lost;
	case NAME_STAYING:
		return !entry->leaving;
	case NAME_LEAVING:
		return entry->leaving;
	}
	return false;
}

/* Adds the ready instances of the regions of this kind. */
static size_t
directory_fill(members_t *members, region_set_t regions, directory_kind_t kind,
    time_us_t now, uint32_t *ips, size_t limit)
{
	guint len = members->all->len;
	guint start =
	    len > 0 ? (guint)(random_next(&members->random) % len) : 0;
	size_t n = 0;

	if (members->self.ready && is_named(&members->self, kind) &&
	    region_set_has(regions, members->own_region))
		ips[n++] = members->self.ip;
	for (guint i = 0; i < len && n < limit; i++) {
		const member_t *member =
		    g_ptr_array_index(members->all, (start + i) % len);

		if (region_set_has(regions, member_region(members, member)) &&
		    member->entry.ready && is_named(&member->entry, kind) &&
		    members_is_live(members, member, now))
			ips[n++] = member->entry.ip;
	}
	return n;
}

size_t
members_directory(members_t *members, int region, region_set_t permitted,
    time_us_t now, uint32_t *ips, size_t limit)
{
	region_set_t local =
	    region == TOPOLOGY_NONE ? 0 : (region_set_t)1 << region;
	const struct {
		region_set_t regions;
		directory_kind_t kind;
	} choices[] = {
	    {local, NAME_SERVING},
	    {permitted, NAME_SERVING},
	    {local, NAME_STAYING},
	    {permitted, NAME_STAYING},
	    {local, NAME_LEAVING},
	    {permitted, NAME_LEAVING},
	    {REGION_SET_ALL, NAME_STAYING},
	};
	size_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(choices) && n == 0 && limit > 0;
	     i++) {
		/* Instances that are being replaced soon return. */
		if (i == G_N_ELEMENTS(choices) - 1 &&
		    any_live(members, local | permitted, now))
			break;
		n = directory_fill(members, choices[i].regions, choices[i].kind,
		    now, ips, limit);
	}
	return n;
}
