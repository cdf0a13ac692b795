#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/topology.h"
#include "core/types.h"

/*
 * Membership of instances by gossiped heartbeat counters, after van Renesse,
 * Minsky and Hayden, "A Gossip-Style Failure Detection Service" (1998). Each
 * instance increments its own counter and sends others the counters that it
 * recently saw increase. The death of an instance is never gossiped: each
 * instance detects it by itself, so that an instance that is partitioned can't
 * make others drop members of the fleet. An instance is identified by its
 * address; a restart has a higher incarnation.
 *
 * In each round an instance sends to some instances of its region
 * and to few of the others, so that the messages of one instance don't grow
 * with the fleet; updates reach all of it in O(log n) rounds.
 */

/* Time between gossip rounds. */
#define MEMBER_ROUND_US (250 * US_PER_MS)

/* Time without a new heartbeat after which an instance counts as dead: in the
 * own region, and in others, which updates reach after more rounds. */
#define MEMBER_LOCAL_TIMEOUT_US (6 * MEMBER_ROUND_US)
#define MEMBER_REMOTE_TIMEOUT_US (12 * MEMBER_ROUND_US)

/*
 * Time without a new heartbeat after which others take over the shares of an
 * instance. Longer than an instance that is cut off takes to see that it no
 * longer hears most of its region (MEMBER_LOCAL_TIMEOUT_US), and gives up its
 * shares.
 */
#define MEMBER_SHARE_TIMEOUT_US (2 * MEMBER_LOCAL_TIMEOUT_US)

/* A dead instance is probed occasionally for this long, to heal partitions. */
#define MEMBER_FORGET_US (60 * US_PER_S)

/*
 * Instances to send to in one round: of the own zone, of other zones of the
 * region, and of other regions. Bytes between zones are expensive.
 */
#define MEMBER_ZONE_FANOUT 6
#define MEMBER_LOCAL_FANOUT 2
#define MEMBER_REMOTE_FANOUT 2

/* Entries in one message, so that it stays below 1,400 bytes. */
#define MEMBER_DIGEST_LIMIT 28

/* Maximum number of known instances. */
#define MEMBER_LIMIT 1024

typedef struct {
	uint32_t ip; /* IPv4, host byte order; identifies the instance */
	int zone;
	incarnation_t incarnation;
	uint32_t heartbeat;
	bool ready;	 /* accepts requests */
	bool leaving;	 /* stopping; soon accepts no requests */
	bool lost;	 /* reaches no target of its region (core/reach.h) */
	uint32_t age_ms; /* since the sender saw a new heartbeat */
} member_entry_t;

typedef struct {
	member_entry_t entry;
	time_us_t last_seen;
} member_t;

typedef struct members members_t;

/* members_merge() may raise self->incarnation. */
members_t *members_create(const topology_t *topology,
    const member_entry_t *self, const uint32_t *seeds, size_t n_seeds,
    uint64_t random, time_us_t now);
void members_destroy(members_t *members);

void members_set_ready(members_t *members, bool ready);
void members_set_leaving(members_t *members);
void members_set_lost(members_t *members, bool lost);
const member_entry_t *members_self(const members_t *members);

/* Places relative to this instance, nearest first. */
typedef enum {
	MEMBER_SAME_ZONE,
	MEMBER_SAME_REGION, /* in another zone */
	MEMBER_OTHER_REGION,
} member_place_t;

/*
 * Writes up to limit other live instances at that place. Returns how many;
 * MEMBER_LIMIT is enough for all.
 */
size_t members_at(const members_t *members, member_place_t place, time_us_t now,
    uint32_t *ips, size_t limit);

/*
 * Writes up to per_zone random live instances of each other zone. Returns how
 * many, at most limit.
 */
size_t members_pick_in_zones(members_t *members, uint32_t per_zone,
    time_us_t now, uint32_t *ips, size_t limit);

/*
 * Begins a round: increments the own heartbeat and picks the peers to send to.
 * Returns the number of addresses written to peers, at most limit.
 */
size_t members_begin_round(
    members_t *members, time_us_t now, uint32_t *peers, size_t limit);

/* Writes the own entry and a selection of live ones. Returns how many. */
size_t members_digest(
    members_t *members, time_us_t now, member_entry_t *entries, size_t limit);

/*
 * Merges entries received from another instance. An entry for this instance
 * with a newer incarnation comes from an earlier start with a clock that was
 * ahead; the own incarnation is raised above it.
 */
void members_merge(members_t *members, const member_entry_t *entries,
    size_t n_entries, time_us_t now);

/* Does not include this instance. NULL when unknown. */
const member_t *members_find(const members_t *members, uint32_t ip);
bool members_is_live(
    const members_t *members, const member_t *member, time_us_t now);

/* Live instances of a region, this one included; TOPOLOGY_NONE: of all. */
uint32_t members_n_live(const members_t *members, int region, time_us_t now);

/*
 * Returns whether this instance is one of the count live ones of its region
 * that are responsible for key: the highest by rendezvous hash, so that all
 * agree on these while they agree on which instances are live.
 */
bool members_is_responsible(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now);

/* The same among the live instances of the own zone. */
bool members_is_zone_responsible(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now);

/*
 * Returns whether this instance may use a share that at most count + 1
 * instances of its region use at once, also while groups of them can't hear
 * each other. In the group that has heard most of the region's known instances
 * for MEMBER_LOCAL_TIMEOUT_US, the count ones responsible for key may that were
 * seen within MEMBER_SHARE_TIMEOUT_US; elsewhere only the one responsible among
 * all known ones. An instance that has heard of no other since its start may
 * not for MEMBER_FORGET_US, unless it has no other seed.
 */
bool members_may_use_share(
    const members_t *members, uint64_t key, uint32_t count, time_us_t now);

/*
 * Instances of the own region that may run, heard or not, this one included.
 * For MEMBER_FORGET_US after the start, a zone without a known one counts as
 * much as the own.
 */
uint32_t members_n_known(const members_t *members, time_us_t now);

/*
 * Whether a heartbeat of most instances of all regions that may run, this one
 * included, is at most this old.
 */
bool members_hears_most(
    const members_t *members, time_us_t max_age, time_us_t now);

/*
 * Returns whether this instance doesn't hear most of its region, or, if it is
 * the only one there, any elsewhere. A group that is cut off may hear others
 * of its kind. Without other instances, it is not isolated.
 */
bool members_is_isolated(const members_t *members, time_us_t now);

/*
 * Writes the other instances that are responsible for key, at most count.
 * Writes none when this instance is one of those responsible.
 */
size_t members_responsible(const members_t *members, uint64_t key,
    uint32_t count, time_us_t now, uint32_t *ips);

/*
 * Writes the live instances of the region that come first for key, without this
 * one, at most count.
 */
size_t members_first(const members_t *members, int region, uint64_t key,
    uint32_t count, time_us_t now, uint32_t *ips);

/*
 * Returns a random instance of the region, other than exclude, that accepts
 * requests: it is live, ready and not leaving. NULL: there is none.
 */
const member_t *members_pick(
    members_t *members, int region, uint32_t exclude, time_us_t now);

/* Returns whether members_pick() finds an instance of the region. */
bool members_any_ready(const members_t *members, int region, time_us_t now);

/* The same among those that also reach targets of their region. */
const member_t *members_pick_serving(
    members_t *members, int region, uint32_t exclude, time_us_t now);
bool members_any_serving(const members_t *members, int region, time_us_t now);

/*
 * Writes up to limit live and ready instances that callers in this region
 * should use: those of the region that reach targets; without one, such of the
 * regions in permitted; without one there, those that reach none, of the region
 * and then of these; then those of these regions that are leaving; if
 * these regions have no live instance, those of all regions. This instance is
 * included. Returns 0 while region and permitted have live instances but
 * none that is ready, as when all are being replaced: callers then keep using
 * their previous list.
 *
 * When the instances of a small region are replaced in turn, there may be none
 * available for a moment. Its callers must not be directed to a region that
 * may not process their requests: these would be forwarded from there, and
 * their content would have entered a region that it must not enter.
 */
size_t members_directory(members_t *members, int region, region_set_t permitted,
    time_us_t now, uint32_t *ips, size_t limit);

#endif
