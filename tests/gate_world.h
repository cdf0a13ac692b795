#ifndef TESTS_GATE_WORLD_H
#define TESTS_GATE_WORLD_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Simulates several gates in two zones with a virtual clock. It carries out
 * their actions over a lossy network and checks invariants. Each injected fault
 * breaks the simulation, to show that the checks detect violations.
 */
typedef enum {
	FAULT_NONE,
	FAULT_FALSE_UNSENT,	 /* written bytes are reported as unsent */
	FAULT_FORWARD_AS_CALLER, /* a forwarded request is opened as a caller's
				  */
	FAULT_STALE_LISTS, /* later plans lists are not offered to gates */
	FAULT_EARLY_END,   /* an attempt is reported as ended while it runs */
	FAULT_FREE_TOKENS, /* used tokens are reported as 0 */
	FAULT_NEW_DIGEST,  /* each copy of a body gets another digest */
	FAULT_LOST_RESULT, /* the end of an attempt is not reported */
	FAULT_REPEATED_REFUSAL, /* each refusal is carried out twice */
	FAULT_KEPT_IDENTITY,	/* a restart keeps incarnation and ticket key */
	FAULT_COUNT
} world_fault_t;

/* Totals over all schedules, to show which paths they cover. */
typedef struct {
	uint64_t requests, sends, forwards, refusals, replays, done, kills;
	uint64_t loans, withdrawn, poison_sends, orders;
} world_totals_t;

extern world_totals_t world_totals;

/* Also checks the in-flight requests of all instances at a target. */
extern bool world_strict_slots;

/* Runs the schedule of a seed. Returns the violated invariant, or NULL. */
const char *world_schedule(uint64_t seed, int fault);

/* Returns the prefix of the violation that a fault must cause. */
const char *world_fault_symptom(int fault);

#endif
