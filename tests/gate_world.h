#ifndef TESTS_GATE_WORLD_H
#define TESTS_GATE_WORLD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Several gates in two zones under a virtual clock, with a harness that carries
 * out their actions over a lossy network and checks the invariants. The faults
 * break the harness, so that each check is known to see a violation.
 */
typedef enum {
	FAULT_NONE,
	FAULT_FALSE_UNSENT, /* written bytes are reported as unsent */
	FAULT_HOP_AS_OWN,   /* a hop is opened as a caller's request */
	FAULT_STALE_LISTS,  /* later plans lists don't reach the gate */
	FAULT_EARLY_END,    /* an attempt is reported as over while it runs */
	FAULT_FREE_TOKENS,  /* used tokens are reported as 0 */
	FAULT_NEW_DIGEST,   /* each copy of a body gets another digest */
	FAULT_LOST_RESULT,  /* the end of an attempt is not reported */
	FAULT_TWICE,	    /* each action is carried out twice */
	FAULT_SAME_TICKETS, /* a restart keeps incarnation and ticket key */
	FAULT_COUNT
} world_fault_t;

/* Totals over all schedules, to show that they do something. */
typedef struct {
	uint64_t requests, sends, forwards, refusals, replays, done, kills;
	uint64_t loans, withdrawn, poison_sends, orders;
} world_totals_t;

extern world_totals_t world_totals;

/* Also checks the requests in flight at a target over all instances. */
extern bool world_strict_slots;

/* Runs the schedule of a seed. Returns what was violated, or NULL. */
const char *world_schedule(uint64_t seed, int fault);

/* What a fault must be reported as. */
const char *world_fault_symptom(int fault);

#endif
