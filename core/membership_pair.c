#include <string.h>

#include "core/membership_private.h"

/*
 * Decides when the pair of lists is agreed: for each zone there is a statement
 * no older than LOAN_US that all its members apply it, or the reply of a peer
 * reports the pair as agreed. membership.h explains why this is safe. Instances
 * always compare stamps, that is version and digest, as two texts may have the
 * same version.
 */

#define STATEMENTS_RENEW_US (500 * US_PER_MS)

/* Date of the oldest statement that counts. */
static time_us_t
statement_floor(const membership_t *m, time_us_t now)
{
	if (m->faults.any_age)
		return 1;
	return MAX(now - LOAN_US, m->loans_end_at);
}

static bool
reports_pair_acked(const membership_t *m, const heartbeat_t *message)
{
	return stamp_is_ours(m, &message->adopted[LIST_PLANS], LIST_PLANS) &&
	       stamp_is_ours(
		   m, &message->adopted[LIST_ALLOWANCES], LIST_ALLOWANCES) &&
	       message->acked[LIST_PLANS] ==
		   message->adopted[LIST_PLANS].version &&
	       message->acked[LIST_ALLOWANCES] ==
		   message->adopted[LIST_ALLOWANCES].version;
}

/* Whether the sender reported our pair as agreed. */
static bool
reports_pair_agreed(const membership_t *m, const heartbeat_t *message)
{
	return reports_pair_acked(m, message) &&
	       message->agreed[LIST_PLANS] ==
		   message->adopted[LIST_PLANS].version &&
	       message->agreed[LIST_ALLOWANCES] ==
		   message->adopted[LIST_ALLOWANCES].version;
}

/*
 * Whether the sender applied our lists, in a zone where our fleet list is
 * agreed, and knew of no removed member that may hold a share.
 */
static bool
reports_lists_applied(const membership_t *m, const heartbeat_t *message)
{
	const list_stamp_t *fleet = &message->adopted[LIST_FLEET];

	return reports_pair_acked(m, message) &&
	       stamp_is_ours(m, fleet, LIST_FLEET) &&
	       message->acked[LIST_FLEET] == fleet->version &&
	       message->agreed[LIST_FLEET] == fleet->version &&
	       message->n_former == 0;
}

/* Whether the statements of a message are about our lists. */
static bool
statements_match(const membership_t *m, const heartbeat_t *message)
{
	if (m->faults.any_lists)
		return true;
	for (int kind = 0; kind < LIST_COUNT; kind++) {
		if (!stamp_is_ours(
			m, &message->adopted[kind], (list_kind_t)kind))
			return false;
	}
	return true;
}

/* Whether the pair in force is agreed. Also true without a pair. */
static bool
pair_is_agreed(const membership_t *m)
{
	return m->plans == NULL || m->allowances == NULL ||
	       (m->agreed[LIST_PLANS] == m->plans->head.version &&
		   m->agreed[LIST_ALLOWANCES] == m->allowances->head.version);
}

/* Whether this instance has acknowledged its three lists and its fleet list is
 * agreed. Callers check that no removed members are left. */
static bool
self_applies(const membership_t *m)
{
	uint64_t fleet = membership_newest(m)->fleet->head.version;

	return m->acked[LIST_PLANS] == m->plans->head.version &&
	       m->acked[LIST_ALLOWANCES] == m->allowances->head.version &&
	       m->acked[LIST_FLEET] == fleet && m->agreed[LIST_FLEET] == fleet;
}

void
pair_on_reply(membership_t *m, peer_t *peer, const heartbeat_t *reply)
{
	view_t *view = membership_newest(m);

	if (reports_pair_agreed(m, reply))
		m->pair_agreed_at = MAX(m->pair_agreed_at, reply->sent_at);
	if (reports_lists_applied(m, reply)) {
		m->n_confirmations += peer->applied_at == 0;
		m->statements_due = true;
		peer->applied_at = MAX(peer->applied_at, reply->sent_at);
	}
	if (!statements_match(m, reply))
		return;
	for (size_t i = 0; i < MIN(view->n_zones, reply->n_stated); i++) {
		time_us_t age = reply->stated[i] * STATEMENT_UNIT_US;

		if (reply->stated[i] == STATEMENT_NONE)
			continue;
		m->n_confirmations += view->stated_at[i] == 0;
		view->stated_at[i] =
		    MAX(view->stated_at[i], reply->sent_at - age);
	}
}

void
pair_reset_reports(membership_t *m)
{
	view_t *view = membership_newest(m);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((peer_t *)value)->applied_at = 0;
	m->pair_agreed_at = 0;
	m->statements_due = true;
	for (size_t i = 0; view != NULL && i < view->n_zones; i++)
		view->stated_at[i] = 0;
}

void
pair_write(const membership_t *m, heartbeat_t *out, time_us_t now)
{
	const view_t *view = membership_newest(m);

	out->n_stated = 0;
	if (view == NULL || pair_is_agreed(m))
		return;
	out->n_stated = MIN(view->n_zones, HEARTBEAT_ZONE_LIMIT);
	for (size_t i = 0; i < out->n_stated; i++) {
		time_us_t age = now - view->stated_at[i];

		out->stated[i] = view->stated_at[i] == 0 || age > LOAN_US
				     ? STATEMENT_NONE
				     : (uint8_t)((age + STATEMENT_UNIT_US - 1) /
						 STATEMENT_UNIT_US);
	}
}

/*
 * Updates the statement of each zone whose members have all reported. Without
 * new reports only the date for this instance changes, for which an update each
 * STATEMENTS_RENEW_US is enough.
 */
static void
statements_update(membership_t *m, view_t *view, time_us_t now)
{
	bool applies = self_applies(m) && g_hash_table_size(m->removed) == 0;
	time_us_t *dates;
	GHashTableIter iter;
	gpointer name;

	if (!m->statements_due && applies == m->self_applied &&
	    now < m->statements_updated_at + STATEMENTS_RENEW_US)
		return;
	m->statements_due = false;
	m->self_applied = applies;
	m->statements_updated_at = now;
	dates = g_new(time_us_t, view->n_zones + 1);
	for (size_t i = 0; i < view->n_zones; i++)
		dates[i] = now;
	g_hash_table_iter_init(&iter, view->live);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const peer_t *peer = membership_peer(m, name);
		size_t zone = view_zone_index(view, name);
		time_us_t date = peer == NULL ? 0 : peer->applied_at;

		if (g_str_equal(name, m->name))
			date = applies ? now : 0;
		dates[zone] = MIN(dates[zone], date);
	}
	for (size_t i = 0; i < view->n_zones; i++) {
		m->n_confirmations += view->stated_at[i] == 0 && dates[i] > 0;
		view->stated_at[i] = MAX(view->stated_at[i], dates[i]);
	}
	g_free(dates);
}

/*
 * Whether a peer's reply reports the pair as agreed, or each zone has a
 * statement that counts and no removed members are left.
 *
 * The pair applies to all zones, so the fleet list must be agreed in each of
 * them first: then removed members hold no share. Removed members of a zone
 * without live members are known to each instance that has adopted a list that
 * named them.
 */
static bool
pair_is_confirmed(const membership_t *m, const view_t *view, time_us_t now)
{
	time_us_t floor = statement_floor(m, now);
	time_us_t oldest = m->faults.any_age ? 1 : m->loans_end_at;

	if (m->faults.no_ack || m->pair_agreed_at >= oldest)
		return true;
	for (size_t i = 0; i < view->n_zones; i++) {
		if (view->stated_at[i] < floor)
			return false;
	}
	return g_hash_table_size(m->removed) == 0;
}

void
pair_advance(membership_t *m, time_us_t now)
{
	view_t *view = membership_newest(m);

	if (pair_is_agreed(m))
		return;
	statements_update(m, view, now);
	if (!self_applies(m) || !pair_is_confirmed(m, view, now))
		return;
	m->agreed[LIST_PLANS] = m->plans->head.version;
	m->agreed[LIST_ALLOWANCES] = m->allowances->head.version;
	if (!zone_shares_are_agreed(m->zone_shares))
		m->raised_at = now;
	zone_shares_agree(m->zone_shares, now);
}

static bool
own_zone_stated(const membership_t *m, const view_t *view, time_us_t floor)
{
	return !view->self_live ||
	       view->stated_at[view_zone_index(view, m->name)] >= floor;
}

/* Whether there is a statement, of any age, about each zone. */
static bool
all_zones_stated(const membership_t *m, const view_t *view)
{
	for (size_t i = 0; i < view->n_zones; i++) {
		if (view->stated_at[i] == 0)
			return false;
	}
	return true;
}

time_us_t
membership_query_floor(const membership_t *m, time_us_t now)
{
	const view_t *view = membership_newest(m);

	if (view == NULL || now < m->loans_end_at ||
	    (pair_is_agreed(m) && g_hash_table_size(m->removed) == 0))
		return 0;
	/* While there is no statement about a zone, others needn't be renewed.
	 */
	return all_zones_stated(m, view) ? statement_floor(m, now) : 1;
}

bool
membership_should_query(
    const membership_t *m, const instance_t *instance, time_us_t floor)
{
	const view_t *view = membership_newest(m);
	const peer_t *peer = membership_peer(m, instance->name);
	bool own = g_str_equal(instance->zone, m->zone);

	if (peer == NULL || floor == 0)
		return false;
	if (!own && removed_in_zone(m, instance->zone) > 0)
		return true;
	if (pair_is_agreed(m) || instance->state != MEMBER_LIVE)
		return false;
	if (own)
		return !own_zone_stated(m, view, floor) &&
		       peer->applied_at < floor;
	return own_zone_stated(m, view, floor) &&
	       view->stated_at[view_zone_index(view, instance->name)] < floor;
}

bool
membership_should_query_sender(
    const membership_t *m, const heartbeat_t *request, time_us_t now)
{
	const view_t *view = membership_newest(m);
	const peer_t *peer = membership_peer(m, request->sender);
	time_us_t floor = statement_floor(m, now);

	if (view == NULL || peer == NULL || now < m->loans_end_at ||
	    pair_is_agreed(m))
		return false;
	if (reports_pair_agreed(m, request))
		return true;
	if (g_str_equal(request->zone, m->zone) &&
	    reports_lists_applied(m, request) &&
	    !own_zone_stated(m, view, floor) && peer->applied_at < floor)
		return true;
	if (!statements_match(m, request))
		return false;
	for (size_t i = 0; i < MIN(view->n_zones, request->n_stated); i++) {
		if (request->stated[i] != STATEMENT_NONE &&
		    view->stated_at[i] < floor)
			return true;
	}
	return false;
}

bool
membership_zone_is_stated(const membership_t *m, time_us_t floor)
{
	return own_zone_stated(m, membership_newest(m), floor);
}

uint64_t
membership_n_confirmations(const membership_t *m)
{
	return m->n_confirmations;
}
