#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/places.h"
#include "core/types.h"

/*
 * Membership of instances by gossiped heartbeat counters, after van Renesse,
 * Minsky and Hayden, "A Gossip-Style Failure Detection Service" (1998). Each
 * instance raises its own counter and tells others of all counters that it has
 * lately seen rise. Nobody spreads that an instance is dead: each instance
 * finds out by itself, so that a cut-off instance can't talk others out of the
 * fleet. An instance is named by its address; a restart has a higher
 * incarnation.
 *
 * Load pattern: an instance tells some instances of its region and few of the
 * others in each round, so that the messages of one instance don't grow with
 * the fleet; news cross it in O(log n) rounds.
 */

/* Time between rounds. */
#define MEMBER_ROUND_US (250 * US_PER_MS)

/* Rounds without a rise after which an instance counts as dead: own region, and
 * elsewhere, where news take more rounds. */
#define MEMBER_NEAR_TIMEOUT_US (6 * MEMBER_ROUND_US)
#define MEMBER_FAR_TIMEOUT_US (12 * MEMBER_ROUND_US)

/* A dead instance is contacted now and then for this long, to heal cuts. */
#define MEMBER_FORGET_US (60 * US_PER_S)

/* Instances of the own region, and of others, that are told in one round. */
#define MEMBER_NEAR_FANOUT 8
#define MEMBER_FAR_FANOUT 2

/* Entries in one message, so that it stays below 1,400 bytes. */
#define MEMBER_DIGEST_LIMIT 28

/* Most instances that are known. */
#define MEMBER_LIMIT 1024

typedef struct {
	uint32_t ip; /* IPv4, host byte order: the name */
	int zone;
	incarnation_t incarnation;
	uint32_t heartbeat;
	bool ready;	 /* takes requests */
	bool leaving;	 /* was asked to stop, soon takes none */
	uint32_t age_ms; /* since the teller saw the heartbeat rise */
} member_entry_t;

typedef struct {
	member_entry_t entry;
	time_us_t risen_at;
} member_t;

typedef struct members members_t;

/* self->incarnation is a first guess; see members_merge(). */
members_t *members_create(const places_t *places, const member_entry_t *self,
    const uint32_t *seeds, size_t n_seeds, uint64_t random, time_us_t now);
void members_destroy(members_t *members);

void members_set_ready(members_t *members, bool ready);
void members_set_leaving(members_t *members);
const member_entry_t *members_self(const members_t *members);

/* Writes up to limit other live instances of the own region. */
size_t members_near(
    const members_t *members, time_us_t now, uint32_t *ips, size_t limit);

/*
 * Begins a round: raises the own heartbeat and picks whom to tell. Returns the
 * number of addresses written to peers, at most limit.
 */
size_t members_round(
    members_t *members, time_us_t now, uint32_t *peers, size_t limit);

/* Writes the own entry and a selection of live ones. Returns how many. */
size_t members_digest(
    members_t *members, time_us_t now, member_entry_t *entries, size_t limit);

/*
 * Takes in what another instance told. An entry for this instance with a newer
 * incarnation comes from an earlier start with a clock that was ahead; the own
 * incarnation is raised above it.
 */
void members_merge(members_t *members, const member_entry_t *entries,
    size_t n_entries, time_us_t now);

/* Does not include this instance. NULL when unknown. */
const member_t *members_find(const members_t *members, uint32_t ip);
bool members_is_live(
    const members_t *members, const member_t *member, time_us_t now);

/* Live instances of a region, this one included; PLACE_NONE: of all. */
uint32_t members_n_live(const members_t *members, int region, time_us_t now);

/*
 * Tells whether this instance is one of count live ones of its region that take
 * care of key: the highest by rendezvous hash, so that all agree who does while
 * they agree who is live.
 */
bool members_cares_for(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now);

/*
 * Writes the other instances that care for key, count of them at most. Empty
 * when this instance is one of those that do.
 */
size_t members_carers(const members_t *members, uint64_t key, uint32_t count,
    time_us_t now, uint32_t *ips);

/*
 * Returns a live and ready instance of the region at random, other than
 * exclude, or NULL.
 */
const member_t *members_pick(
    members_t *members, int region, uint32_t exclude, time_us_t now);

/* Tells whether members_pick() finds an instance of the region. */
bool members_any_ready(const members_t *members, int region, time_us_t now);

/*
 * Writes up to limit live and ready instances that callers in this region
 * should use: those of the region; without one, those of the regions in
 * elsewhere; without one there, those of these regions that are leaving;
 * without one at all, those of all regions. This instance is one of them.
 * Returns 0 while all instances of these regions are being replaced: callers
 * then go on with the answer that they have.
 *
 * Load pattern: the instances of a small region are replaced in turn and for a
 * moment none is there. Its callers must not be led to a region in which their
 * work may not be done: it would be passed on from there, and its content would
 * have been in a region that it must not enter.
 */
size_t members_directory(members_t *members, int region, region_set_t elsewhere,
    time_us_t now, uint32_t *ips, size_t limit);

#endif
