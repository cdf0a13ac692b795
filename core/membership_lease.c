#include <string.h>

#include "core/membership_private.h"

static int
time_descending(gconstpointer a, gconstpointer b)
{
	const time_us_t x = *(const time_us_t *)a;
	const time_us_t y = *(const time_us_t *)b;

	return x < y ? 1 : (x > y ? -1 : 0);
}

/* Returns the nth largest time (from 1), or 0 if there are fewer. */
static time_us_t
nth_newest(GArray *times, size_t n)
{
	if (n == 0 || times->len < n)
		return 0;
	g_array_sort(times, time_descending);
	return g_array_index(times, time_us_t, n - 1);
}

/*
 * Returns the time of the newest renewal that a majority of the zone has
 * granted, this instance included. 0 in a zone of one, where no other member
 * could refuse.
 */
static time_us_t
zone_quorum(const membership_t *m, const view_t *view)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(time_us_t));
	time_us_t at = 0;

	for (size_t i = 0; i < view->zone_members->len; i++) {
		const peer_t *peer = membership_peer(
		    m, g_ptr_array_index(view->zone_members, i));

		if (peer != NULL)
			g_array_append_val(times, peer->granted_at);
	}
	at = nth_newest(times, view->zone_members->len / 2);
	g_array_free(times, TRUE);
	return at;
}

/* As zone_quorum, for a majority of the live instances of other zones. */
static time_us_t
witness_quorum(const membership_t *m, const view_t *view)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(time_us_t));
	GHashTableIter iter;
	gpointer name, value;
	time_us_t at;

	g_hash_table_iter_init(&iter, view->live);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const instance_t *instance = value;
		const peer_t *peer = membership_peer(m, name);

		if (peer != NULL && !g_str_equal(instance->zone, m->zone))
			g_array_append_val(times, peer->granted_at);
	}
	at = nth_newest(times, view->n_other / 2 + 1);
	g_array_free(times, TRUE);
	return at;
}

time_us_t
lease_under(const membership_t *m, const view_t *view, time_us_t now)
{
	time_us_t zone, other;

	if (!view->self_live)
		return 0;
	if (m->faults.no_lease || g_hash_table_size(view->live) == 1)
		return now + LEASE_US;
	zone = zone_quorum(m, view);
	/* Counting the other zones is expensive: only when it is needed. */
	if (zone > 0 && zone + LEASE_US / 2 > now)
		return zone + LEASE_US;
	other = view->n_other == 0 ? 0 : witness_quorum(m, view);
	return MAX(zone, other) == 0 ? 0 : MAX(zone, other) + LEASE_US;
}

/*
 * A lease must be valid under every version that this instance has
 * acknowledged, as any of them may be the agreed version that others apply.
 */
void
lease_renew(membership_t *m, time_us_t now)
{
	time_us_t until = INT64_MAX;

	if (m->window->len == 0)
		return;
	for (size_t i = 0; i < m->window->len; i++) {
		view_t *view = g_ptr_array_index(m->window, i);
		uint64_t version = view->fleet->head.version;
		bool only = m->window->len == 1;

		if (only || version <= m->acked[LIST_FLEET])
			until = MIN(until, lease_under(m, view, now));
	}
	if (m->lease_until == 0 && until > now)
		m->raised_at = now;
	m->lease_until = until > now ? until : 0;
}

void
membership_drop_share(membership_t *m)
{
	memset(m->agreed, 0, sizeof(m->agreed));
	zone_shares_revoke(m->zone_shares);
	while (m->window->len > 1)
		g_ptr_array_remove_index(m->window, 0);
	m->blocked_since = 0;
	m->epoch++;
}

void
lease_check(membership_t *m, time_us_t now)
{
	if (m->faults.no_lease && membership_newest(m) != NULL)
		lease_renew(m, now);
	if (m->lease_until == 0 || now < m->lease_until)
		return;
	m->lease_until = 0;
	m->epoch++;
	/* With a single version only instances that still have it can grant
	 * the lease again, so this instance was not fenced meanwhile. */
	if (m->window->len > 1)
		membership_drop_share(m);
}

/*
 * Whether the requester's fleet version is at least the agreed one (our newest
 * while none is agreed), has our digest if it is our newest, and every version
 * from it to our newest has the requester live.
 */
static bool
lease_is_due(const membership_t *m, const heartbeat_t *request)
{
	const list_stamp_t *theirs = &request->adopted[LIST_FLEET];
	const list_head_t *ours = &membership_newest(m)->fleet->head;
	uint64_t least =
	    m->agreed[LIST_FLEET] > 0 ? m->agreed[LIST_FLEET] : ours->version;

	if (theirs->version < least)
		return false;
	if (theirs->version == ours->version &&
	    memcmp(theirs->digest, ours->digest, DIGEST_BYTES) != 0)
		return false;
	for (size_t i = 0; i < m->window->len; i++) {
		const view_t *view = g_ptr_array_index(m->window, i);
		bool last = i + 1 == m->window->len;

		if ((last || view->fleet->head.version >= theirs->version) &&
		    !g_hash_table_contains(view->live, request->sender))
			return false;
	}
	return true;
}

bool
lease_may_grant(const membership_t *m, const heartbeat_t *request)
{
	return request->wants_lease && m->recovered && lease_is_due(m, request);
}
