#include "core/membership_private.h"

/*
 * Decides when a fleet version is agreed. In all rules below an acknowledgement
 * counts only while its sender has adopted exactly our newest version with our
 * text: one for a newer version doesn't cover versions that its sender skipped.
 */

static bool
peer_acked_fleet(const membership_t *m, const peer_t *peer)
{
	return peer != NULL && peer_has_our_list(m, peer, LIST_FLEET) &&
	       peer->acked[LIST_FLEET] == peer->adopted[LIST_FLEET].version;
}

static bool
peer_agreed_fleet(const membership_t *m, const peer_t *peer)
{
	return peer_acked_fleet(m, peer) &&
	       peer->agreed[LIST_FLEET] == peer->adopted[LIST_FLEET].version;
}

static bool
zone_acked(const membership_t *m, const view_t *view)
{
	for (size_t i = 0; i < view->zone_members->len; i++) {
		const char *name = g_ptr_array_index(view->zone_members, i);

		if (!g_str_equal(name, m->name) &&
		    !peer_acked_fleet(m, membership_peer(m, name)))
			return false;
	}
	return true;
}

static const peer_t *
zone_find(const membership_t *m, const view_t *view,
    bool (*matches)(const membership_t *, const peer_t *))
{
	for (size_t i = 0; i < view->zone_members->len; i++) {
		const peer_t *peer = membership_peer(
		    m, g_ptr_array_index(view->zone_members, i));

		if (peer != NULL && matches(m, peer))
			return peer;
	}
	return NULL;
}

static bool
peer_holds_share(const membership_t *m, const peer_t *peer)
{
	return peer->agreed[LIST_FLEET] > 0;
}

size_t
removed_in_zone(const membership_t *m, const char *zone)
{
	GHashTableIter iter;
	gpointer value;
	size_t n = 0;

	g_hash_table_iter_init(&iter, m->removed);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += g_str_equal(value, zone);
	return n;
}

static gboolean
removed_is_of_zone(gpointer name, gpointer zone, gpointer wanted)
{
	return g_str_equal(zone, wanted);
}

/*
 * Counts instances whose replies to requests sent since then had our version.
 * In its zone, this instance counts itself if it is live.
 */
static void
count_at_our_version(const membership_t *m, const view_t *view, time_us_t since,
    size_t *in_zone, size_t *elsewhere)
{
	GHashTableIter iter;
	gpointer name, value;

	*in_zone = view->self_live ? 1 : 0;
	*elsewhere = 0;
	g_hash_table_iter_init(&iter, view->live);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const instance_t *instance = value;
		const peer_t *peer = membership_peer(m, name);

		if (peer == NULL || !peer_has_our_list(m, peer, LIST_FLEET) ||
		    peer->same_fleet_at < since || peer->same_fleet_at == 0)
			continue;
		if (g_str_equal(instance->zone, m->zone))
			(*in_zone)++;
		else
			(*elsewhere)++;
	}
}

/*
 * Whether so many instances of a view have our newest version, and so refuse
 * removed members a lease, that the others are no majority, neither in the zone
 * nor in the other zones.
 */
static bool
view_blocked(const membership_t *m, const view_t *view, time_us_t since)
{
	size_t n = view->zone_members->len;
	size_t in_zone, elsewhere;

	count_at_our_version(m, view, since, &in_zone, &elsewhere);
	return in_zone >= n - n / 2 &&
	       elsewhere >= view->n_other - view->n_other / 2;
}

static bool
removed_blocked(const membership_t *m, time_us_t since)
{
	for (size_t i = 0; i + 1 < m->window->len; i++) {
		if (!view_blocked(m, g_ptr_array_index(m->window, i), since))
			return false;
	}
	return m->window->len > 1;
}

/*
 * Whether removed members have lost their lease and their loans have expired:
 * they were refused for FENCE_US without interruption. Versions only rise, so
 * instances that had our version at the start and the end had it throughout.
 */
static bool
removed_fenced(membership_t *m, time_us_t now)
{
	if (m->faults.short_fence)
		return true;
	if (!removed_blocked(m, 0)) {
		m->blocked_since = 0;
		return false;
	}
	if (m->blocked_since == 0)
		m->blocked_since = now;
	return now >= m->blocked_since + FENCE_US &&
	       removed_blocked(m, m->blocked_since + FENCE_US);
}

/*
 * Whether no member of the zone has held a share. A majority of the instances
 * of other zones must know of no removed member of this zone.
 */
static bool
zone_is_new(const membership_t *m, const view_t *view)
{
	GHashTableIter iter;
	gpointer name, value;
	size_t n_clear = 0;

	if (zone_find(m, view, peer_holds_share) != NULL ||
	    removed_in_zone(m, m->zone) > 0)
		return false;
	g_hash_table_iter_init(&iter, view->live);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const instance_t *instance = value;
		const peer_t *peer = membership_peer(m, name);

		if (peer == NULL || g_str_equal(instance->zone, m->zone) ||
		    peer->same_fleet_at == 0 ||
		    !peer_has_our_list(m, peer, LIST_FLEET))
			continue;
		if (peer->names_our_removed)
			return false;
		n_clear++;
	}
	return view->n_other == 0 || n_clear > view->n_other / 2;
}

static bool
fleet_is_agreed(membership_t *m, time_us_t now)
{
	const view_t *view = membership_newest(m);
	bool holds = m->agreed[LIST_FLEET] > 0;

	if (m->faults.no_ack)
		return true;
	if (m->acked[LIST_FLEET] != view->fleet->head.version || !m->recovered)
		return false;
	if (zone_find(m, view, peer_agreed_fleet) != NULL)
		return true;
	if (!view->self_live || !zone_acked(m, view))
		return false;
	if (!holds)
		return zone_is_new(m, view);
	return removed_in_zone(m, m->zone) == 0 || removed_fenced(m, now);
}

static void
fleet_agree(membership_t *m, time_us_t now)
{
	share_t before = m->agreed[LIST_FLEET] > 0 ? window_share(m) : 0;

	while (m->window->len > 1)
		g_ptr_array_remove_index(m->window, 0);
	g_hash_table_foreach_remove(m->removed, removed_is_of_zone, m->zone);
	m->agreed[LIST_FLEET] = membership_newest(m)->fleet->head.version;
	m->blocked_since = 0;
	if (window_share(m) > before)
		m->raised_at = now;
	lease_renew(m, now);
}

static bool
lent_is_covered(const membership_t *m)
{
	return m->faults.ignore_lent || m->lent == NULL ||
	       m->lent(m->lent_context) <= window_share(m);
}

static bool
fleet_may_ack(const membership_t *m, const view_t *view, time_us_t now)
{
	if (view->self_live && lease_under(m, view, now) <= now)
		return false;
	if (m->window->len > WINDOW_SOFT_LIMIT &&
	    now < m->newest_since + ACK_DELAY_US)
		return false;
	return removed_in_zone(m, m->zone) <= HEARTBEAT_FORMER_LIMIT;
}

static void
lists_ack(membership_t *m, time_us_t now)
{
	const view_t *view = membership_newest(m);
	bool pair =
	    m->plans != NULL && m->allowances != NULL &&
	    (m->acked[LIST_PLANS] != m->plans->head.version ||
		m->acked[LIST_ALLOWANCES] != m->allowances->head.version);
	bool fleet = m->acked[LIST_FLEET] != view->fleet->head.version;

	if ((!pair && !fleet) || now < m->loans_end_at || !lent_is_covered(m))
		return;
	if (pair) {
		m->acked[LIST_PLANS] = m->plans->head.version;
		m->acked[LIST_ALLOWANCES] = m->allowances->head.version;
	}
	if (fleet && fleet_may_ack(m, view, now) &&
	    (m->overcommitted == NULL ||
		!m->overcommitted(m->overcommitted_context))) {
		m->acked[LIST_FLEET] = view->fleet->head.version;
		lease_renew(m, now);
	}
}

/*
 * Sets recovered once enough others have our version: all members of the zone
 * and a majority of the live instances of other zones. A process that reads a
 * stale list must not grant a lease to a fenced instance.
 */
static void
recover(membership_t *m)
{
	const view_t *view = membership_newest(m);
	size_t in_zone, elsewhere;

	count_at_our_version(m, view, 0, &in_zone, &elsewhere);
	m->recovered = view->self_live && in_zone == view->zone_members->len &&
		       (view->n_other == 0 || elsewhere > view->n_other / 2);
}

void
membership_advance(membership_t *m, time_us_t now)
{
	const view_t *view = membership_newest(m);

	if (view == NULL)
		return;
	if (!m->recovered)
		recover(m);
	lists_ack(m, now);
	if (m->agreed[LIST_FLEET] != view->fleet->head.version &&
	    fleet_is_agreed(m, now))
		fleet_agree(m, now);
	pair_advance(m, now);
}
