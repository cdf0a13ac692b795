#include <string.h>
#include <xxhash.h>

#include "core/membership_private.h"

static void
view_destroy(gpointer data)
{
	view_t *view = data;

	g_hash_table_destroy(view->live);
	g_hash_table_destroy(view->listed);
	g_ptr_array_free(view->zone_members, TRUE);
	g_hash_table_destroy(view->zone_indexes);
	g_free(view->stated_at);
	fleet_unref(view->fleet);
	g_free(view);
}

static gint
name_order(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static void
view_index_zones(view_t *view)
{
	GPtrArray *zones = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	view->zone_indexes = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_iter_init(&iter, view->live);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const instance_t *instance = value;

		if (g_hash_table_add(view->zone_indexes, instance->zone))
			g_ptr_array_add(zones, instance->zone);
	}
	g_ptr_array_sort(zones, name_order);
	for (size_t i = 0; i < zones->len; i++)
		g_hash_table_insert(view->zone_indexes,
		    g_ptr_array_index(zones, i), GSIZE_TO_POINTER(i));
	view->n_zones = zones->len;
	view->stated_at = g_new0(time_us_t, zones->len + 1);
	g_ptr_array_free(zones, TRUE);
}

static view_t *
view_create(const membership_t *m, fleet_t *fleet)
{
	view_t *view = g_new0(view_t, 1);

	view->fleet = fleet_ref(fleet);
	view->live = g_hash_table_new(g_str_hash, g_str_equal);
	view->listed = g_hash_table_new(g_str_hash, g_str_equal);
	view->zone_members = g_ptr_array_new();
	for (size_t i = 0; i < fleet->n_instances; i++) {
		instance_t *instance = &fleet->instances[i];

		g_hash_table_insert(view->listed, instance->name, instance);
		if (instance->state != MEMBER_LIVE)
			continue;
		g_hash_table_insert(view->live, instance->name, instance);
		if (!g_str_equal(instance->zone, m->zone)) {
			view->n_other++;
			continue;
		}
		g_ptr_array_add(view->zone_members, instance->name);
		if (g_str_equal(instance->name, m->name))
			view->self_live = true;
	}
	g_ptr_array_sort(view->zone_members, name_order);
	view_index_zones(view);
	return view;
}

membership_t *
membership_create(const char *name, const char *zone, incarnation_t incarnation,
    time_us_t now)
{
	membership_t *m = g_new0(membership_t, 1);

	g_strlcpy(m->name, name, sizeof(m->name));
	g_strlcpy(m->zone, zone, sizeof(m->zone));
	m->incarnation = incarnation;
	m->loans_end_at = now + DRIFT_MARGIN(LOAN_US);
	m->zone_shares = zone_shares_create(zone);
	m->window = g_ptr_array_new_with_free_func(view_destroy);
	m->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	m->removed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return m;
}

void
membership_destroy(membership_t *m)
{
	if (m == NULL)
		return;
	g_ptr_array_free(m->window, TRUE);
	g_hash_table_destroy(m->peers);
	g_hash_table_destroy(m->removed);
	zone_shares_destroy(m->zone_shares);
	plans_unref(m->plans);
	allowances_unref(m->allowances);
	g_free(m);
}

void
membership_set_lent_source(
    membership_t *m, membership_lent_t lent, void *context)
{
	m->lent = lent;
	m->lent_context = context;
}

void
membership_set_overcommitted_source(
    membership_t *m, membership_overcommitted_t overcommitted, void *context)
{
	m->overcommitted = overcommitted;
	m->overcommitted_context = context;
}

void
membership_set_faults(membership_t *m, membership_faults_t faults)
{
	m->faults = faults;
}

bool
stamp_is_ours(
    const membership_t *m, const list_stamp_t *stamp, list_kind_t kind)
{
	const view_t *view = membership_newest(m);
	const list_head_t *ours = NULL;

	switch (kind) {
	case LIST_PLANS:
		ours = m->plans == NULL ? NULL : &m->plans->head;
		break;
	case LIST_ALLOWANCES:
		ours = m->allowances == NULL ? NULL : &m->allowances->head;
		break;
	case LIST_FLEET:
	case LIST_COUNT:
		ours = view == NULL ? NULL : &view->fleet->head;
		break;
	}
	return ours != NULL && stamp->version == ours->version &&
	       memcmp(stamp->digest, ours->digest, DIGEST_BYTES) == 0;
}

bool
peer_has_our_list(const membership_t *m, const peer_t *peer, list_kind_t kind)
{
	return stamp_is_ours(m, &peer->adopted[kind], kind);
}

static bool
name_retired(const membership_t *m, const char *name)
{
	char **retired = m->allowances == NULL ? NULL : m->allowances->retired;

	for (; retired != NULL && *retired != NULL; retired++) {
		if (g_str_equal(*retired, name))
			return true;
	}
	return false;
}

/* Whether a removed member is live again or was retired by an operator. */
static gboolean
removed_is_released(gpointer name, gpointer zone, gpointer data)
{
	const membership_t *m = data;

	return name_retired(m, name) ||
	       g_hash_table_contains(membership_newest(m)->live, name);
}

static void
removed_collect(membership_t *m, const view_t *old, const view_t *next)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, old->live);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const instance_t *instance = value;

		if (!g_hash_table_contains(next->live, name) &&
		    !g_str_equal(name, m->name))
			g_hash_table_insert(m->removed, g_strdup(name),
			    g_strdup(instance->zone));
	}
}

static void
peer_ensure(membership_t *m, const char *name, const char *zone)
{
	peer_t *peer;

	if (g_str_equal(name, m->name) || g_hash_table_contains(m->peers, name))
		return;
	peer = g_new0(peer_t, 1);
	g_strlcpy(peer->name, name, sizeof(peer->name));
	g_strlcpy(peer->zone, zone, sizeof(peer->zone));
	g_hash_table_insert(m->peers, peer->name, peer);
}

static gboolean
peer_is_unused(gpointer name, gpointer peer, gpointer data)
{
	const membership_t *m = data;

	if (g_hash_table_contains(m->removed, name))
		return FALSE;
	for (size_t i = 0; i < m->window->len; i++) {
		const view_t *view = g_ptr_array_index(m->window, i);

		if (g_hash_table_contains(view->listed, name))
			return FALSE;
	}
	return TRUE;
}

static void
peers_update(membership_t *m)
{
	const view_t *view = membership_newest(m);
	GHashTableIter iter;
	gpointer value;

	for (size_t i = 0; i < view->fleet->n_instances; i++)
		peer_ensure(m, view->fleet->instances[i].name,
		    view->fleet->instances[i].zone);
	g_hash_table_foreach_remove(m->peers, peer_is_unused, m);
	g_hash_table_iter_init(&iter, m->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((peer_t *)value)->same_fleet_at = 0;
	pair_reset_reports(m);
}

static void
fleet_adopt(membership_t *m, fleet_t *fleet, time_us_t now)
{
	view_t *old = membership_newest(m);
	view_t *next = view_create(m, fleet);
	share_t before = window_share(m);

	if (m->agreed[LIST_FLEET] > 0 && m->lease_until == 0)
		membership_drop_share(m);
	if (old != NULL)
		removed_collect(m, old, next);
	g_ptr_array_add(m->window, next);
	if (old != NULL && (m->agreed[LIST_FLEET] == 0 ||
			       old->fleet->head.version > m->acked[LIST_FLEET]))
		g_ptr_array_remove(m->window, old);
	if (window_share(m) > before)
		m->raised_at = now;
	m->newest_since = now;
	m->blocked_since = 0;
	g_hash_table_foreach_remove(m->removed, removed_is_released, m);
	peers_update(m);
	lease_renew(m, now);
}

static void
pair_adopt(
    membership_t *m, plans_t *plans, allowances_t *allowances, time_us_t now)
{
	bool newer = false;

	if (plans != NULL && (m->plans == NULL || plans->head.version >
						      m->plans->head.version)) {
		plans_unref(m->plans);
		m->plans = plans_ref(plans);
		newer = true;
	}
	if (allowances != NULL &&
	    (m->allowances == NULL ||
		allowances->head.version > m->allowances->head.version)) {
		allowances_unref(m->allowances);
		m->allowances = allowances_ref(allowances);
		newer = true;
	}
	if (newer)
		pair_reset_reports(m);
	if (newer && m->plans != NULL && m->allowances != NULL)
		zone_shares_adopt(m->zone_shares, m->plans, m->allowances, now);
}

void
membership_adopt(membership_t *m, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances, time_us_t now)
{
	const view_t *view;

	lease_check(m, now);
	pair_adopt(m, plans, allowances, now);
	view = membership_newest(m);
	if (fleet != NULL &&
	    (view == NULL || fleet->head.version > view->fleet->head.version))
		fleet_adopt(m, fleet, now);
	if (membership_newest(m) != NULL)
		g_hash_table_foreach_remove(m->removed, removed_is_released, m);
	membership_advance(m, now);
}

static void
stamp_set(list_stamp_t *stamp, const list_head_t *head)
{
	stamp->version = head->version;
	memcpy(stamp->digest, head->digest, DIGEST_BYTES);
}

static void
removed_write(const membership_t *m, heartbeat_t *out, bool own_zone)
{
	GHashTableIter iter;
	gpointer name, zone;

	g_hash_table_iter_init(&iter, m->removed);
	while (g_hash_table_iter_next(&iter, &name, &zone)) {
		former_member_t *removed = &out->former[out->n_former];

		if (g_str_equal(zone, m->zone) != own_zone)
			continue;
		if (out->n_former == HEARTBEAT_FORMER_LIMIT)
			return;
		g_strlcpy(removed->name, name, sizeof(removed->name));
		g_strlcpy(removed->zone, zone, sizeof(removed->zone));
		out->n_former++;
	}
}

static void
state_write(const membership_t *m, heartbeat_t *out, time_us_t now)
{
	const view_t *view = membership_newest(m);

	g_strlcpy(out->sender, m->name, sizeof(out->sender));
	g_strlcpy(out->zone, m->zone, sizeof(out->zone));
	out->incarnation = m->incarnation;
	memset(out->adopted, 0, sizeof(out->adopted));
	if (m->plans != NULL)
		stamp_set(&out->adopted[LIST_PLANS], &m->plans->head);
	if (m->allowances != NULL)
		stamp_set(&out->adopted[LIST_ALLOWANCES], &m->allowances->head);
	if (view != NULL)
		stamp_set(&out->adopted[LIST_FLEET], &view->fleet->head);
	memcpy(out->acked, m->acked, sizeof(out->acked));
	memcpy(out->agreed, m->agreed, sizeof(out->agreed));
	out->wants_lease = false;
	out->lease_granted = false;
	out->n_former = 0;
	removed_write(m, out, true);
	removed_write(m, out, false);
	pair_write(m, out, now);
}

static void
sent_record(membership_t *m, time_us_t now)
{
	if (m->n_sent > 0 && m->sent[(m->n_sent - 1) % SENT_LIMIT] >= now)
		return;
	m->sent[m->n_sent++ % SENT_LIMIT] = now;
}

static bool
sent_contains(const membership_t *m, time_us_t at)
{
	size_t low = m->n_sent > SENT_LIMIT ? m->n_sent - SENT_LIMIT : 0;
	size_t high = m->n_sent;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (m->sent[middle % SENT_LIMIT] == at)
			return true;
		if (m->sent[middle % SENT_LIMIT] < at)
			low = middle + 1;
		else
			high = middle;
	}
	return false;
}

void
membership_fill(membership_t *m, heartbeat_t *out, time_us_t now)
{
	const view_t *view = membership_newest(m);

	lease_check(m, now);
	membership_advance(m, now);
	state_write(m, out, now);
	out->sent_at = now;
	out->wants_lease = view != NULL && view->self_live;
	sent_record(m, now);
}

/*
 * Merges values as maxima, so that messages may arrive in any order. agreed can
 * fall to 0; peer_on_reply() takes it from the newest reply.
 */
static void
peer_merge(peer_t *peer, const heartbeat_t *message)
{
	for (int kind = 0; kind < LIST_COUNT; kind++) {
		if (message->adopted[kind].version >=
		    peer->adopted[kind].version)
			peer->adopted[kind] = message->adopted[kind];
		peer->acked[kind] =
		    MAX(peer->acked[kind], message->acked[kind]);
		peer->agreed[kind] =
		    MAX(peer->agreed[kind], message->agreed[kind]);
	}
}

static void
peer_restart(peer_t *peer, incarnation_t incarnation)
{
	peer_t fresh = {.incarnation = incarnation};

	memcpy(fresh.name, peer->name, sizeof(fresh.name));
	memcpy(fresh.zone, peer->zone, sizeof(fresh.zone));
	*peer = fresh;
}

/* Drops removed members that no longer hold a share according to this peer. */
static void
removed_release(membership_t *m, const peer_t *peer)
{
	const view_t *view = membership_newest(m);
	uint64_t version = view->fleet->head.version;
	GHashTableIter iter;
	gpointer zone;

	if (!peer_has_our_list(m, peer, LIST_FLEET) ||
	    peer->acked[LIST_FLEET] != version)
		return;
	g_hash_table_remove(m->removed, peer->name);
	if (peer->agreed[LIST_FLEET] != version ||
	    g_str_equal(peer->zone, m->zone))
		return;
	g_hash_table_iter_init(&iter, m->removed);
	while (g_hash_table_iter_next(&iter, NULL, &zone)) {
		if (g_str_equal(zone, peer->zone))
			g_hash_table_iter_remove(&iter);
	}
}

/*
 * Merges a message into the sender's record, releases removed members and
 * returns the record. Returns NULL without a fleet list, or if the sender is
 * unknown or names another zone.
 */
static peer_t *
peer_on_message(membership_t *m, const heartbeat_t *message)
{
	peer_t *peer = membership_peer(m, message->sender);

	if (peer == NULL || membership_newest(m) == NULL ||
	    !g_str_equal(peer->zone, message->zone))
		return NULL;
	if (peer->incarnation != message->incarnation)
		peer_restart(peer, message->incarnation);
	peer_merge(peer, message);
	removed_release(m, peer);
	return peer;
}

void
membership_on_heartbeat(membership_t *m, const heartbeat_t *request,
    heartbeat_t *reply, time_us_t now)
{
	const view_t *view = membership_newest(m);
	bool granted;

	lease_check(m, now);
	peer_on_message(m, request);
	membership_advance(m, now);
	granted = view != NULL && lease_may_grant(m, request);
	state_write(m, reply, now);
	reply->sent_at = request->sent_at;
	reply->lease_granted = granted;
	/* An instance that our list doesn't name must not count our
	 * acknowledgement, as we don't wait for its own. */
	if (view == NULL ||
	    !g_hash_table_contains(view->listed, request->sender)) {
		memset(reply->acked, 0, sizeof(reply->acked));
		memset(reply->agreed, 0, sizeof(reply->agreed));
		reply->n_stated = 0;
	}
}

static bool
names_removed_of(const heartbeat_t *message, const char *zone)
{
	if (message->n_former >= HEARTBEAT_FORMER_LIMIT)
		return true;
	for (size_t i = 0; i < message->n_former; i++) {
		if (g_str_equal(message->former[i].zone, zone))
			return true;
	}
	return false;
}

static void
peer_on_reply(membership_t *m, peer_t *peer, const heartbeat_t *reply)
{
	if (reply->lease_granted)
		peer->granted_at = MAX(peer->granted_at, reply->sent_at);
	if (reply->sent_at >= peer->answered_at) {
		peer->answered_at = reply->sent_at;
		memcpy(peer->agreed, reply->agreed, sizeof(peer->agreed));
	}
	if (!peer_has_our_list(m, peer, LIST_FLEET) ||
	    reply->adopted[LIST_FLEET].version !=
		peer->adopted[LIST_FLEET].version ||
	    reply->sent_at < peer->same_fleet_at)
		return;
	peer->same_fleet_at = reply->sent_at;
	peer->names_our_removed = names_removed_of(reply, m->zone);
}

void
membership_on_reply(membership_t *m, const heartbeat_t *reply, time_us_t now)
{
	peer_t *peer;

	lease_check(m, now);
	if (reply->sent_at > now || !sent_contains(m, reply->sent_at))
		return;
	peer = peer_on_message(m, reply);
	if (peer == NULL)
		return;
	peer_on_reply(m, peer, reply);
	pair_on_reply(m, peer, reply);
	if (reply->lease_granted)
		lease_renew(m, now);
	membership_advance(m, now);
}

static share_t
view_share(const view_t *view)
{
	return view->self_live ? SHARE_ONE / view->zone_members->len : 0;
}

share_t
window_share(const membership_t *m)
{
	share_t share = m->window->len == 0 ? 0 : SHARE_ONE;

	for (size_t i = 0; i < m->window->len; i++)
		share = MIN(share, view_share(g_ptr_array_index(m->window, i)));
	return share;
}

bool
membership_has_lease(membership_t *m, time_us_t now)
{
	lease_check(m, now);
	return m->lease_until > now;
}

static bool
membership_holds_share(membership_t *m, time_us_t now)
{
	return membership_has_lease(m, now) && m->agreed[LIST_FLEET] > 0;
}

share_t
membership_share(membership_t *m, time_us_t now)
{
	return membership_holds_share(m, now) ? window_share(m) : 0;
}

share_t
membership_zone_share(const membership_t *m, const char *team)
{
	return zone_shares_lowest(m->zone_shares, team);
}

share_t
membership_zone_share_newest(const membership_t *m, const char *team)
{
	return zone_shares_newest(m->zone_shares, team);
}

share_t
membership_team_share(membership_t *m, const char *team, time_us_t now)
{
	uint64_t share = membership_share(m, now);

	return (share_t)(share * membership_zone_share(m, team) / SHARE_ONE);
}

const plan_t *
membership_plan(const membership_t *m, const char *team)
{
	return zone_shares_plan(m->zone_shares, team);
}

time_us_t
membership_raised_at(const membership_t *m, const char *team)
{
	return MAX(m->raised_at, zone_shares_raised_at(m->zone_shares, team));
}

static uint32_t
view_slots(const membership_t *m, const view_t *view, const target_t *target)
{
	uint64_t n = view->zone_members->len;
	uint64_t offset =
	    XXH3_64bits(target->name, strlen(target->name)) % MAX(n, 1);

	for (size_t k = 0; k < n; k++) {
		if (g_str_equal(
			g_ptr_array_index(view->zone_members, k), m->name))
			return (
			    uint32_t)(target->slots / n +
				      ((k + offset) % n < target->slots % n));
	}
	return 0;
}

uint32_t
membership_slots_in_window(const membership_t *m, const target_t *target)
{
	uint32_t slots = UINT32_MAX;

	if (!g_str_equal(target->zone, m->zone) || m->window->len == 0)
		return 0;
	for (size_t i = 0; i < m->window->len; i++)
		slots = MIN(slots,
		    view_slots(m, g_ptr_array_index(m->window, i), target));
	return slots;
}

uint32_t
membership_slots(membership_t *m, const target_t *target, time_us_t now)
{
	return membership_holds_share(m, now)
		   ? membership_slots_in_window(m, target)
		   : 0;
}

static bool
view_is_owner(const membership_t *m, const view_t *view, const char *key)
{
	const char *best = NULL;
	uint64_t highest = 0;

	for (size_t i = 0; i < view->zone_members->len; i++) {
		const char *name = g_ptr_array_index(view->zone_members, i);
		uint64_t rank = XXH3_64bits_withSeed(
		    name, strlen(name), XXH3_64bits(key, strlen(key)));

		if (best == NULL || rank > highest) {
			best = name;
			highest = rank;
		}
	}
	return best != NULL && g_str_equal(best, m->name);
}

bool
membership_owns(membership_t *m, membership_key_t key_of, void *context,
    time_us_t now, char key[OWNER_KEY_LIMIT])
{
	char other[OWNER_KEY_LIMIT];

	key[0] = '\0';
	if (!membership_holds_share(m, now))
		return false;
	for (size_t i = 0; i < m->window->len; i++) {
		const view_t *view = g_ptr_array_index(m->window, i);

		key_of(context, view->fleet, other);
		if (i == 0)
			memcpy(key, other, sizeof(other));
		if (other[0] == '\0' || !g_str_equal(key, other) ||
		    !view_is_owner(m, view, key))
			return false;
	}
	return true;
}

time_us_t
membership_lease_until(membership_t *m, time_us_t now)
{
	return membership_has_lease(m, now) ? m->lease_until : 0;
}

uint64_t
membership_agreed_fleet(const membership_t *m)
{
	return m->agreed[LIST_FLEET];
}

bool
membership_is_settled(const membership_t *m, list_kind_t kind, uint64_t version)
{
	return m->agreed[kind] >= version;
}

uint64_t
membership_epoch(membership_t *m, time_us_t now)
{
	lease_check(m, now);
	return m->epoch;
}

size_t
membership_n_pending_raises(const membership_t *m)
{
	return zone_shares_n_lowered(m->zone_shares);
}

bool
membership_progressed(
    const membership_t *m, uint64_t progress[MEMBERSHIP_PROGRESS])
{
	bool changed = memcmp(progress, m->acked, sizeof(m->acked)) != 0 ||
		       progress[LIST_COUNT] != m->agreed[LIST_FLEET];

	memcpy(progress, m->acked, sizeof(m->acked));
	progress[LIST_COUNT] = m->agreed[LIST_FLEET];
	return changed;
}
