#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include <stdbool.h>

#include "core/heartbeat.h"

/*
 * One instance's view of who divides the fleet's rates: which lists it obeys,
 * what the others have acknowledged, its lease, and former members.
 *
 * A version is agreed when everyone who may hold a share obeys it. The share of
 * an instance is the minimum over its window, which reaches from the last
 * agreed fleet version to the newest adopted one. So all shares obey the newest
 * version that any instance knows to be agreed, and their sum is at most
 * SHARE_ONE. docs/PROOFS.md and spec/share.pml have the argument.
 */
typedef struct membership membership_t;

/* A lease lasts this long, counted from when its renewal was sent. */
#define LEASE_US (30 * US_PER_S)
/* A borrowed share lasts this long, counted from when it was asked for. */
#define LOAN_US (10 * US_PER_S)
/* Adds 1% to a time, as two clocks may run at different speeds. */
#define DRIFT_MARGIN(us) ((us) + (us) / 100)
#define FENCE_US DRIFT_MARGIN(LEASE_US + LOAN_US)

/*
 * The largest lent share over all teams, as a part of the zone's part of each
 * team under the newest lists, rounded up. Asked while an acknowledgement is
 * due, which waits until the instance's share covers it.
 */
typedef share_t (*membership_lent_t)(void *context);

/*
 * Whether more requests run at a target than this instance's slots under the
 * window allow. Asked while an acknowledgement of a fleet list is due, which
 * waits until they have ended: the others raise their slots after it.
 */
typedef bool (*membership_busy_t)(void *context);

/* Rules that a test can switch off, to show that its checks notice. */
typedef struct {
	bool no_ack;	  /* agrees without waiting for acknowledgements */
	bool short_fence; /* fences former members at once */
	bool ignore_lent; /* acknowledges while too much is lent */
	bool no_lease;	  /* uses the share without a lease */
} membership_faults_t;

/*
 * Copies name and zone. The result holds nothing until lists are adopted, and
 * not before the loans of an earlier process of this name are over. That
 * process must have ended: two that run under one name would share one lease.
 */
membership_t *membership_create(const char *name, const char *zone,
    incarnation_t incarnation, time_us_t now);
void membership_destroy(membership_t *m);

void membership_set_lent_source(
    membership_t *m, membership_lent_t lent, void *context);
void membership_set_busy_source(
    membership_t *m, membership_busy_t busy, void *context);
void membership_set_faults(membership_t *m, membership_faults_t faults);

/*
 * Adopts lists and takes a reference to each. NULL, or a version that is not
 * higher than the one in force, leaves that list as it is. plans and allowances
 * that belong together are passed in one call. Cost: O(teams + instances).
 */
void membership_adopt(membership_t *m, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances, time_us_t now);

/*
 * Fills the fields of a request to any listed instance that this module owns:
 * sender, zone, incarnation, sent_at, adopted, acked, agreed, wants_lease,
 * former. The other fields are left as they are.
 */
void membership_fill(membership_t *m, heartbeat_t *out, time_us_t now);

/* Takes a request and fills the same fields of the reply, and lease_granted. */
void membership_on_heartbeat(membership_t *m, const heartbeat_t *request,
    heartbeat_t *reply, time_us_t now);

/* Takes a reply. One whose sent_at is none of ours is ignored. */
void membership_on_reply(
    membership_t *m, const heartbeat_t *reply, time_us_t now);

/* This instance's share of its zone's part; 0 without a lease. */
share_t membership_share(membership_t *m, time_us_t now);

/* The zone's part of a team: lowest since the last agreed pair of lists. */
share_t membership_part(const membership_t *m, const char *team);

/* The zone's part of a team under the newest pair of lists alone. */
share_t membership_part_newest(const membership_t *m, const char *team);

/* This instance's share of the whole rate and burst of a team. */
share_t membership_team_share(membership_t *m, const char *team, time_us_t now);

/* This instance's part of the slots of a target of its zone, else 0. */
uint32_t membership_slots(
    membership_t *m, const target_t *target, time_us_t now);

/*
 * Writes the key whose owner has a right under one fleet version, "" for none.
 */
#define OWNER_KEY_LIMIT 192
typedef void (*membership_key_t)(
    void *context, const fleet_t *fleet, char key[OWNER_KEY_LIMIT]);

/*
 * Whether this instance has a right that one member of its zone holds at a
 * time: it has a lease, and under every version of the window it is the
 * rendezvous winner of that version's key among the zone's live members, and
 * the key is the same. All holders' windows contain the newest version that any
 * of them knows to be agreed, so two can't hold the right at a time. Writes the
 * key.
 */
bool membership_owns(membership_t *m, membership_key_t key_of, void *context,
    time_us_t now, char key[OWNER_KEY_LIMIT]);

/* End of the lease, 0 without one. */
time_us_t membership_lease_until(membership_t *m, time_us_t now);

/* Newest fleet version known to be agreed; 0: this instance holds nothing. */
uint64_t membership_agreed_fleet(const membership_t *m);

/* The same whether there is a lease or not. */
uint32_t membership_slots_listed(const membership_t *m, const target_t *target);

bool membership_has_lease(membership_t *m, time_us_t now);

/*
 * Tells whether everyone who may hold a share obeys this version. For plans and
 * allowances the pair in force is meant.
 */
bool membership_is_settled(
    const membership_t *m, list_kind_t kind, uint64_t version);

/* The plan of a team in the newest pair of lists, or NULL. */
const plan_t *membership_plan(const membership_t *m, const char *team);

/*
 * Last time at which the instance's share of this team rose. A bucket of an
 * idle team that is created now counts as empty at that time: whoever held the
 * added part before may have spent its tokens.
 */
time_us_t membership_raised_at(const membership_t *m, const char *team);

/*
 * Counts the times at which this instance lost its holdings. Tokens gathered
 * under an earlier epoch are void.
 */
uint64_t membership_epoch(membership_t *m, time_us_t now);

/*
 * Tells whether the versions that this instance has acknowledged or knows to be
 * agreed differ from those in progress, and stores them there. The others wait
 * for them, so a change is worth a heartbeat at once.
 */
#define MEMBERSHIP_PROGRESS ((size_t)2 * LIST_COUNT)
bool membership_progressed(
    const membership_t *m, uint64_t progress[MEMBERSHIP_PROGRESS]);

/* Number of teams whose part rose and waits for acknowledgements. */
size_t membership_n_lowered(const membership_t *m);

/*
 * The part of a zone in the rate of a team that may use the given regions
 * (NULL-terminated): weight of the zone / weights of all zones in the regions,
 * rounded down. 0 when the zone is in none of them.
 */
share_t zone_part(
    const allowances_t *allowances, char *const *regions, const char *zone);

#endif
