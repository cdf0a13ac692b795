#ifndef CORE_HEARTBEAT_H
#define CORE_HEARTBEAT_H

#include <stdbool.h>
#include <stddef.h>

#include "core/snapshot.h"

#define HEARTBEAT_FORMER_LIMIT 32
#define HEARTBEAT_POISON_LIMIT 16
#define HEARTBEAT_LOAD_LIMIT 32
#define HEARTBEAT_ZONE_LIMIT 64

/* Ages of zone statements are told in this unit, rounded up. */
#define STATEMENT_UNIT_US (50 * US_PER_MS)
#define STATEMENT_NONE UINT8_MAX

/* Version and content of a list that an instance has adopted; version 0: none.
 */
typedef struct {
	uint64_t version;
	uint8_t digest[DIGEST_BYTES];
} list_stamp_t;

/* Keyed digest of a request body that stopped targets, and how many it stopped.
 */
typedef struct {
	uint8_t digest[DIGEST_BYTES];
	uint32_t targets_lost;
} poison_stamp_t;

/* Load of a service's targets in the sender's zone, as the sender sees it. */
typedef struct {
	char service[NAME_LIMIT + 1];
	uint32_t in_flight; /* requests of the sender on these targets */
	uint32_t slots;	    /* the sender's part of the targets' slots */
	uint32_t queued;
} service_load_t;

/* An instance that an earlier fleet list named and whose share is not released.
 */
typedef struct {
	char name[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
} former_member_t;

/*
 * State that instances tell each other, in requests and replies. It carries no
 * request content, no key and no key hash.
 */
typedef struct {
	char sender[NAME_LIMIT + 1];
	char zone[NAME_LIMIT + 1];
	incarnation_t incarnation;
	time_us_t sent_at; /* request: sender's clock; reply: echo of it */
	list_stamp_t adopted[LIST_COUNT];
	/* Newest version of each list that the sender's holdings obey. */
	uint64_t acked[LIST_COUNT];
	/*
	 * Newest version that the sender knows to be agreed, see membership.h;
	 * 0: none, the sender holds no share of its own.
	 */
	uint64_t agreed[LIST_COUNT];
	bool ready;
	bool draining;
	bool wants_lease;   /* request only */
	bool lease_granted; /* reply only */
	former_member_t former[HEARTBEAT_FORMER_LIMIT];
	size_t n_former;
	/*
	 * Zone statements: the age of each in STATEMENT_UNIT_US, or
	 * STATEMENT_NONE. They hold for exactly the three lists in adopted; the
	 * zones are those with live members in that fleet list, by name. None
	 * are told once the sender knows that its pair is agreed.
	 */
	uint8_t stated[HEARTBEAT_ZONE_LIMIT];
	size_t n_stated;
	bool brief; /* load is left out, what was told before still counts */
	poison_stamp_t poison[HEARTBEAT_POISON_LIMIT]; /* same region only */
	size_t n_poison;
	service_load_t load[HEARTBEAT_LOAD_LIMIT];
	size_t n_load;
} heartbeat_t;

#endif
