#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include <stdbool.h>

#include "core/heartbeat.h"

/*
 * One instance's view of the members that share the fleet's rates: the lists it
 * applies, what the others have acknowledged, its lease, and removed members,
 * which were live in an earlier fleet list and may still hold a share.
 *
 * A fleet version is agreed in a zone when every instance of the zone that may
 * hold a share applies it; the pair of plans and allowances is agreed when all
 * such instances of all zones apply it. The share of an instance is the minimum
 * over its window, which reaches from the last agreed fleet version to the
 * newest adopted one. So all shares respect the newest version that any
 * instance knows to be agreed, and their sum is at most SHARE_ONE.
 * docs/PROOFS.md and spec/share.pml have the proof.
 *
 * The pair of plans and allowances applies to all zones. It is agreed when
 * there is a statement for each zone with live members about exactly the three
 * lists in force, versions and digests: at or after the date of the statement,
 * every live member of the zone under this fleet list has reported that it had
 * adopted and acknowledged all three, knew the fleet list to be agreed in its
 * zone, and knew of no removed member. It is also agreed when the reply of a
 * peer reports this pair as agreed. An instance that has received this from
 * all members creates the statement, and instances with the same three lists
 * pass it on. A heartbeat carries statements about the lists that it names as
 * adopted, so that a statement always comes with the lists it is valid for.
 *
 * A statement is about a past time, so it stays true when its members adopt
 * newer lists, and it stays useful: a member that acknowledged the pair applies
 * it until it knows a newer pair to be agreed. The newer pair needed an
 * acknowledgement of the instance that counts the statement, which then no
 * longer has the older pair. Two cases would break this, and each has a rule.
 *
 * First, a member may restart with older lists. The new process doesn't know of
 * the acknowledgement and applies an older pair if others still know that one
 * to be agreed. So a statement counts for LOAN_US from its date, and a new
 * process ignores what was reported in the first DRIFT_MARGIN(LOAN_US) after
 * its start. If the acknowledgement of its predecessor was counted for a pair,
 * all others had acknowledged that pair before this time was over, and what
 * they report later is about that pair or a newer one.
 *
 * Second, an old message may arrive late. So only replies count, dated by the
 * time of their request less the age that the sender reports. A request can't
 * be dated; one that reports something we lack is followed by a request to its
 * sender.
 *
 * spec/agree.pml is a model of this part.
 */
typedef struct membership membership_t;

/* Duration of a lease, counted from when its renewal was sent. */
#define LEASE_US (30 * US_PER_S)
/* Duration of a loan of share, counted from when it was requested. */
#define LOAN_US (10 * US_PER_S)
/* Adds 1% to a time, as two clocks may run at different speeds. */
#define DRIFT_MARGIN(us) ((us) + (us) / 100)
#define FENCE_US DRIFT_MARGIN(LEASE_US + LOAN_US)

/*
 * Returns the largest lent share over all teams, as a fraction of the zone
 * share of each team under the newest lists, rounded up. Called while an
 * acknowledgement is due, which waits until the instance's share covers it.
 */
typedef share_t (*membership_lent_t)(void *context);

/*
 * Returns whether more requests run at a target than this instance's slots
 * under the window allow. Called while an acknowledgement of a fleet list is
 * due, which waits until they have ended: the others raise their slots after
 * it.
 */
typedef bool (*membership_overcommitted_t)(void *context);

/* Rules that a test can disable to prove that its checks detect this. */
typedef struct {
	bool no_ack;	  /* agree without waiting for acknowledgements */
	bool short_fence; /* fence removed members at once */
	bool ignore_lent; /* acknowledge while too much is lent */
	bool no_lease;	  /* use the share without a lease */
	bool any_age;	  /* count zone statements of any age */
	bool any_lists;	  /* count zone statements about other lists */
} membership_faults_t;

/*
 * Copies name and zone. The instance holds no share until lists are adopted and
 * the loans of an earlier process of this name have expired. That process must
 * have ended: two that run under one name would share one lease.
 */
membership_t *membership_create(const char *name, const char *zone,
    incarnation_t incarnation, time_us_t now);
void membership_destroy(membership_t *m);

void membership_set_lent_source(
    membership_t *m, membership_lent_t lent, void *context);
void membership_set_overcommitted_source(
    membership_t *m, membership_overcommitted_t overcommitted, void *context);
void membership_set_faults(membership_t *m, membership_faults_t faults);

/*
 * Adopts lists and takes a reference to each. NULL, or a version that is not
 * higher than the one in force, leaves that list as it is. A compatible pair of
 * plans and allowances is passed in one call. Cost: O(teams + instances).
 */
void membership_adopt(membership_t *m, fleet_t *fleet, plans_t *plans,
    allowances_t *allowances, time_us_t now);

/*
 * Sets these fields of a request to any listed instance: sender, zone,
 * incarnation, sent_at, adopted, acked, agreed, wants_lease, lease_granted,
 * the removed members and the zone statements. The other fields are left as
 * they are.
 */
void membership_fill(membership_t *m, heartbeat_t *out, time_us_t now);

/* Handles a request and sets the same fields of the reply. */
void membership_on_heartbeat(membership_t *m, const heartbeat_t *request,
    heartbeat_t *reply, time_us_t now);

/* Handles a reply. Ignored unless its sent_at is that of one of our requests.
 */
void membership_on_reply(
    membership_t *m, const heartbeat_t *reply, time_us_t now);

/* This instance's share of the zone share; 0 without a lease or before a fleet
 * version is agreed. */
share_t membership_share(membership_t *m, time_us_t now);

/* The zone share of a team: lowest since the last agreed pair of lists. */
share_t membership_zone_share(const membership_t *m, const char *team);

/* The zone share of a team under the newest pair of lists alone. */
share_t membership_zone_share_newest(const membership_t *m, const char *team);

/* This instance's share of the whole rate and burst of a team. */
share_t membership_team_share(membership_t *m, const char *team, time_us_t now);

/* This instance's share of the slots of a target of its zone. 0 for other
 * targets, without a lease or before a fleet version is agreed. */
uint32_t membership_slots(
    membership_t *m, const target_t *target, time_us_t now);

/*
 * Writes the key of a resource under one fleet version, "" for none. The owner
 * of the key may use the resource.
 */
#define OWNER_KEY_LIMIT 192
typedef void (*membership_key_t)(
    void *context, const fleet_t *fleet, char key[OWNER_KEY_LIMIT]);

/*
 * Whether this instance owns a key, which only one member of its zone does at a
 * time: it has a lease, the key is the same under every version of the window,
 * and under each this instance wins the rendezvous hash of the key among the
 * zone's live members. The windows of all instances that hold a share contain
 * the newest version that any of them knows to be agreed, so two can't own the
 * key at a time. Writes the key.
 */
bool membership_owns(membership_t *m, membership_key_t key_of, void *context,
    time_us_t now, char key[OWNER_KEY_LIMIT]);

/* End of the lease, 0 without one. */
time_us_t membership_lease_until(membership_t *m, time_us_t now);

/* Newest fleet version known to be agreed; 0: this instance has no share. */
uint64_t membership_agreed_fleet(const membership_t *m);

/* As membership_slots, but regardless of the lease and of agreement. */
uint32_t membership_slots_in_window(
    const membership_t *m, const target_t *target);

bool membership_has_lease(membership_t *m, time_us_t now);

/*
 * Whether this version or a newer one is known to be agreed: the fleet list in
 * this zone, plans and allowances in all zones.
 */
bool membership_is_settled(
    const membership_t *m, list_kind_t kind, uint64_t version);

/* The plan of a team in the newest pair of lists, or NULL. */
const plan_t *membership_plan(const membership_t *m, const char *team);

/*
 * Last time at which the instance's share of this team rose. A bucket of an
 * idle team that is created now counts as empty at that time: the previous
 * holder of the added share may have spent its tokens.
 */
time_us_t membership_raised_at(const membership_t *m, const char *team);

/*
 * A number that rises each time this instance loses its share. Tokens collected
 * in an earlier epoch are void.
 */
uint64_t membership_epoch(membership_t *m, time_us_t now);

/*
 * Whether the versions that this instance has acknowledged, or the fleet
 * version that it knows to be agreed, differ from those in progress, and stores
 * them there. The zone waits for them, so a change is sent in a heartbeat at
 * once. An agreed pair is not: instances that lack it request it.
 */
#define MEMBERSHIP_PROGRESS ((size_t)LIST_COUNT + 1)
bool membership_progressed(
    const membership_t *m, uint64_t progress[MEMBERSHIP_PROGRESS]);

/*
 * Queries for what is missing while the pair is not agreed, or while removed
 * members are not released. The floor is the oldest date that counts. 0: no
 * queries now; 1: any date, while some zone has no statement.
 * membership_should_query returns whether the reply of an instance may report
 * something missing, so that it is sent a heartbeat.
 */
time_us_t membership_query_floor(const membership_t *m, time_us_t now);
bool membership_should_query(
    const membership_t *m, const instance_t *instance, time_us_t floor);

/*
 * Whether a request, which can't be dated, reports what this instance lacks, so
 * that a heartbeat is sent to its sender for a reply that can.
 */
bool membership_should_query_sender(
    const membership_t *m, const heartbeat_t *request, time_us_t now);

/* Whether our zone has a statement that is no older than the floor. Also true
 * if this instance isn't live in the newest fleet list. */
bool membership_zone_is_stated(const membership_t *m, time_us_t floor);

/*
 * A number that rises when a peer is first seen to apply the lists in force,
 * and when a zone gets its first statement about them, received or made here.
 */
uint64_t membership_n_confirmations(const membership_t *m);

/* Number of teams whose zone share will rise after acknowledgements. */
size_t membership_n_pending_raises(const membership_t *m);

/*
 * The share of a zone in the rate of a team that may use the given regions
 * (NULL-terminated): weight of the zone / weights of all zones in the regions,
 * rounded down. 0 when the zone is in none of them.
 */
share_t zone_share_of(
    const allowances_t *allowances, char *const *regions, const char *zone);

#endif
