#ifndef CORE_MEMBERSHIP_PRIVATE_H
#define CORE_MEMBERSHIP_PRIVATE_H

#include "core/membership.h"
#include "core/zone_share.h"

/* Declarations shared by the files of the membership module. */

#define SENT_LIMIT 4096
/* Above this window length acknowledgements are delayed by ACK_DELAY_US, so
 * that lists that change faster than they are agreed can't exhaust the memory.
 */
#define WINDOW_SOFT_LIMIT 8
#define ACK_DELAY_US (10 * US_PER_S)

/* An instance that a list in the window names, or a removed member. */
typedef struct {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	incarnation_t incarnation;
	list_stamp_t adopted[LIST_COUNT];
	uint64_t acked[LIST_COUNT];
	uint64_t agreed[LIST_COUNT];
	/* Time of our newest request whose reply granted the lease; 0: none. */
	time_us_t granted_at;
	/* Time of our newest request that got a reply. */
	time_us_t answered_at;
	/*
	 * Time of our newest request whose reply reported our fleet version,
	 * and whether that reply named removed members of our zone.
	 */
	time_us_t same_fleet_at;
	bool names_our_removed;
	/*
	 * Time of our newest request whose reply reported that the peer applies
	 * our three lists; 0: none since we adopted them.
	 */
	time_us_t applied_at;
} peer_t;

/* One adopted fleet version. */
typedef struct {
	fleet_t *fleet;
	GHashTable *live;	 /* name -> instance_t */
	GHashTable *listed;	 /* name -> instance_t, live or leaving */
	GPtrArray *zone_members; /* sorted names of our zone's live members */
	size_t n_other;		 /* live instances of other zones */
	bool self_live;
	/* Zones with live members, sorted by name, and the date of the newest
	 * statement about each for our lists; 0: none. */
	GHashTable *zone_indexes; /* zone -> index in stated_at */
	time_us_t *stated_at;
	size_t n_zones;
} view_t;

struct membership {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	incarnation_t incarnation;
	plans_t *plans;
	allowances_t *allowances;
	zone_shares_t *zone_shares;
	/*
	 * Oldest first: the agreed version, those acknowledged since, and the
	 * newest. Versions that were replaced before we acknowledged them
	 * don't limit our share and are dropped.
	 */
	GPtrArray *window;
	GHashTable *peers;   /* name -> peer_t */
	GHashTable *removed; /* name -> zone */
	uint64_t acked[LIST_COUNT];
	/* 0 for the fleet: this process has no share (it is new, or lost its
	 * lease while the list changed). */
	uint64_t agreed[LIST_COUNT];
	/* A new process doesn't know what its predecessor acknowledged. It
	 * grants no lease before enough others have reported the same version.
	 */
	bool recovered;
	time_us_t loans_end_at; /* end of our predecessor's loans */
	time_us_t lease_until;
	time_us_t newest_since;
	time_us_t blocked_since; /* 0: removed members may renew a lease */
	uint64_t epoch;
	/* Time of our newest request whose reply reported our pair as agreed.
	 */
	time_us_t pair_agreed_at;
	time_us_t statements_updated_at; /* when statements were last updated */
	bool statements_due;		 /* a report was received since then */
	bool self_applied;		 /* this instance applied its lists */
	uint64_t n_confirmations;	 /* membership_n_confirmations() */
	time_us_t raised_at;		 /* when the share of all teams rose */
	time_us_t sent[SENT_LIMIT];	 /* ring of sent_at, ascending */
	size_t n_sent;
	membership_lent_t lent;
	void *lent_context;
	membership_overcommitted_t overcommitted;
	void *overcommitted_context;
	membership_faults_t faults;
};

static inline view_t *
membership_newest(const membership_t *m)
{
	return m->window->len == 0
		   ? NULL
		   : g_ptr_array_index(m->window, m->window->len - 1);
}

static inline peer_t *
membership_peer(const membership_t *m, const char *name)
{
	return g_hash_table_lookup(m->peers, name);
}

/* Index in stated_at of the zone of a live instance. */
static inline size_t
view_zone_index(const view_t *view, const char *name)
{
	const instance_t *instance = g_hash_table_lookup(view->live, name);

	return GPOINTER_TO_SIZE(
	    g_hash_table_lookup(view->zone_indexes, instance->zone));
}

/* Whether a stamp has our version and digest of a list. */
bool stamp_is_ours(
    const membership_t *m, const list_stamp_t *stamp, list_kind_t kind);

/* Whether a peer has adopted our version and text of a list. */
bool peer_has_our_list(
    const membership_t *m, const peer_t *peer, list_kind_t kind);

/* The minimum share over the window, also without a lease. */
share_t window_share(const membership_t *m);

/* membership_lease.c */
/* Time until which a lease under this view lasts; 0: none. */
time_us_t lease_under(const membership_t *m, const view_t *view, time_us_t now);
void lease_renew(membership_t *m, time_us_t now);
/* Ends an expired lease. Called first by each function whose result depends on
 * the lease. */
void lease_check(membership_t *m, time_us_t now);
/* Whether the requester may be granted a lease. Records nothing. */
bool lease_may_grant(const membership_t *m, const heartbeat_t *request);
/* Drops all state that depends on an uninterrupted lease. */
void membership_drop_share(membership_t *m);

/* membership_agree.c */
void membership_advance(membership_t *m, time_us_t now);
size_t removed_in_zone(const membership_t *m, const char *zone);

/* membership_pair.c */
void pair_advance(membership_t *m, time_us_t now);
void pair_on_reply(membership_t *m, peer_t *peer, const heartbeat_t *reply);
void pair_write(const membership_t *m, heartbeat_t *out, time_us_t now);
/* Drops what peers reported about lists that are no longer in force. */
void pair_reset_reports(membership_t *m);

#endif
