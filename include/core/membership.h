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
 *
 * The pair of lists binds all zones. It is agreed when each zone with live
 * members has a statement about exactly the three lists in force, versions and
 * digests: since the date of the statement, every live member of the zone under
 * this fleet list has shown that it had adopted and acknowledged all three,
 * knew the fleet list to be agreed in its zone, and knew of no former member.
 * Whoever has heard this from all members makes the statement, and instances
 * with the same three lists pass it on. A heartbeat carries statements about
 * the lists that it names as adopted, so that a statement always comes with
 * what it holds for.
 *
 * A statement is about a time that is past, so it stays true when its members
 * move on, and it stays useful: a member that acknowledged the pair obeys it
 * until it knows a newer pair to be agreed. That one needed an acknowledgement
 * of whoever counts the statement, who is then no longer at the older pair.
 * Two things would break this, and each has a rule.
 *
 * First, a member may start again with older lists. Its successor knows nothing
 * of the acknowledgement and takes up an older pair if others still know that
 * one to be agreed. So a statement counts for LOAN_US from its date, and a new
 * process takes nothing that was shown in the first DRIFT_MARGIN(LOAN_US) after
 * its start. If its predecessor's acknowledgement was counted for a pair, all
 * others had acknowledged that pair before this time was over, and what they
 * show later is about that pair or a newer one.
 *
 * Second, an old message may arrive late. So only replies count, with the date
 * of their request, less the age that the sender tells. A request can't be
 * dated; one that tells something missing is answered with a request.
 *
 * spec/agree.pml is a model of this part.
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
	bool any_age;	  /* counts zone statements of any age */
	bool any_lists;	  /* counts zone statements about other lists */
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
 * Tells whether the versions that this instance has acknowledged, or the fleet
 * version that it knows to be agreed, differ from those in progress, and stores
 * them there. The zone waits for them, so a change is worth a heartbeat at
 * once. An agreed pair is not: those who lack it ask.
 */
#define MEMBERSHIP_PROGRESS ((size_t)LIST_COUNT + 1)
bool membership_progressed(
    const membership_t *m, uint64_t progress[MEMBERSHIP_PROGRESS]);

/*
 * Asking for what is missing while the pair is not agreed, or while former
 * members are not released. The floor is 0 when nothing is missing. An instance
 * is worth a heartbeat when this one lacks what its answer can show.
 */
time_us_t membership_ask_floor(const membership_t *m, time_us_t now);
bool membership_lacks(
    const membership_t *m, const instance_t *instance, time_us_t floor);

/*
 * Whether a request, which can't be dated, tells what this instance lacks, so
 * that a heartbeat to its sender is worth its bytes.
 */
bool membership_asks_back(
    const membership_t *m, const heartbeat_t *request, time_us_t now);

/* Whether all members of the own zone were heard since the floor. */
bool membership_zone_is_stated(const membership_t *m, time_us_t floor);

/* Counts the acknowledgements and statements that were heard first. */
uint64_t membership_n_heard(const membership_t *m);

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
