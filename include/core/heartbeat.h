#ifndef CORE_HEARTBEAT_H
#define CORE_HEARTBEAT_H

#include <stdbool.h>
#include <stddef.h>

#include "core/snapshot.h"

#define HEARTBEAT_FORMER_LIMIT 32
#define HEARTBEAT_POISON_LIMIT 16
#define HEARTBEAT_LOAD_LIMIT 32
#define HEARTBEAT_ZONE_LIMIT 64

/* Unit of the ages of zone statements, which are rounded up. */
#define STATEMENT_UNIT_US (50 * US_PER_MS)
#define STATEMENT_NONE UINT8_MAX

/* Version and digest of the list that an instance has adopted. Version 0: none.
 */
typedef struct {
	uint64_t version;
	uint8_t digest[DIGEST_BYTES];
} list_stamp_t;

/* Keyed digest of a request body that crashed targets, and their number. */
typedef struct {
	uint8_t digest[DIGEST_BYTES];
	uint32_t targets_lost;
} poison_stamp_t;

/* Load of a service's targets in the sender's zone, as known to the sender. */
typedef struct {
	char service[NAME_LIMIT + 1];
	uint32_t in_flight; /* requests that the sender runs on them */
	uint32_t slots;	    /* the sender's share of their slots */
	uint32_t queued;
} service_load_t;

/* An instance of an earlier fleet list whose share is not released yet. */
typedef struct {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
} former_member_t;

/*
 * State that instances exchange, in requests and replies. It carries no request
 * content, no key and no key hash.
 */
typedef struct {
	char sender[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	incarnation_t incarnation;
	time_us_t sent_at; /* request: sender's clock; reply: echoed */
	list_stamp_t adopted[LIST_COUNT];
	/* Newest version of each list that the sender's share complies with. */
	uint64_t acked[LIST_COUNT];
	/*
	 * Newest version that the sender knows to be agreed (membership.h). 0:
	 * none, so the sender has no share of its own.
	 */
	uint64_t agreed[LIST_COUNT];
	bool ready;
	bool draining;
	bool wants_lease;   /* request only */
	bool lease_granted; /* reply only */
	former_member_t former[HEARTBEAT_FORMER_LIMIT];
	size_t n_former;
	/*
	 * Age of each zone's statement in STATEMENT_UNIT_US, or STATEMENT_NONE.
	 * Statements are valid for exactly the three lists in adopted. The
	 * zones are those with live members in that fleet list, sorted by name.
	 * Empty once the sender knows that its pair of lists is agreed.
	 */
	uint8_t stated[HEARTBEAT_ZONE_LIMIT];
	size_t n_stated;
	bool brief; /* no load; the last reported one stays valid */
	/* Those of teams with a home region are sent within it only. */
	poison_stamp_t poison[HEARTBEAT_POISON_LIMIT];
	size_t n_poison;
	service_load_t load[HEARTBEAT_LOAD_LIMIT];
	size_t n_load;
} heartbeat_t;

#endif
