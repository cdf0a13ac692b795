#ifndef CORE_PLANS_SET_H
#define CORE_PLANS_SET_H

#include <stdbool.h>

#include "core/snapshot.h"

/*
 * The parts of the plans list at one instance. All parts of a set belong to the
 * same partitioning of the list, which is given by the number of parts. One set
 * is in force, others are pending until their parts are complete.
 *
 * The version of a part only rises while its set is in force. A set of another
 * partitioning replaces it as a whole, once all its parts are present and each
 * has a version above the version in force, which is the sum of the versions of
 * the parts. So the version in force rises with each change, also of the
 * partitioning, and parts of a replaced partitioning can't return.
 *
 * A part waits while the allowances list lacks a plan of its teams, or while
 * one of its keys is still in another part. Parts that wait for each other,
 * because keys are exchanged between them, come into force together.
 */

/* One set in force and one pending, or two pending. */
#define PLANS_SETS 2

typedef struct {
	uint32_t n; /* parts; 0: unused */
	plans_t **in_force;
	plans_t **waiting; /* newer than in_force; NULL: none */
} plans_set_t;

typedef struct {
	plans_set_t sets[PLANS_SETS];
	int current; /* -1: none is in force yet */
	plans_t *whole;
	uint64_t changes; /* raised when a part is kept or refused,
			   * or a selection is adopted */
} plans_sets_t;

/*
 * A part of the plans list at the platform. watch: this instance holds a watch
 * on it; else it polls it, and learns of changes from peers.
 */
typedef struct {
	uint32_t part;
	uint32_t parts;
	bool watch;
} plans_source_t;

typedef bool (*plans_compatible_t)(const plans_t *part, void *data);

typedef enum {
	PLANS_NEW,
	PLANS_SAME,
	PLANS_BEHIND,
	PLANS_CONFLICT,
	PLANS_WAITING, /* this part waits already */
} plans_verdict_t;

/* Parts that can be in force together. Holds no references. */
typedef struct {
	int set;
	uint32_t n;
	plans_t *parts[PLANS_PART_LIMIT];
	bool changed;	   /* some part is not in force yet */
	bool key_conflict; /* a part was left out as another has its key */
} plans_selection_t;

void plans_sets_init(plans_sets_t *sets);
void plans_sets_clear(plans_sets_t *sets);

/*
 * Classifies a part. If its partitioning is new, creates a pending set, which
 * replaces the one with the lowest versions. PLANS_BEHIND if those are not
 * below the version of the part.
 */
plans_verdict_t plans_sets_classify(plans_sets_t *sets, const plans_t *part);

/*
 * Selects the newest compatible parts that share no key, from each set in turn,
 * newest set first. offered, unless NULL, is used instead of the waiting part.
 * all_compatible: the parts in force are known to be compatible. Returns false
 * when no set has such parts.
 */
bool plans_sets_select(const plans_sets_t *sets, plans_t *offered,
    plans_compatible_t compatible, void *data, bool all_compatible,
    plans_selection_t *selection);

/* Puts the selected parts into force and builds sets->whole from them. */
void plans_sets_adopt(plans_sets_t *sets, const plans_selection_t *selection);

/* Keeps a part until it is compatible. Returns false if a newer one waits. */
bool plans_sets_add_waiting(plans_sets_t *sets, plans_t *part);

/* Whether this part object itself is in force. */
bool plans_sets_in_force(const plans_sets_t *sets, const plans_t *part);

/* The newest waiting part, or NULL. */
plans_t *plans_sets_waiting(const plans_sets_t *sets);

/* Identifies one version of a part. */
typedef struct {
	uint32_t part;
	uint32_t parts;
	uint64_t version;
} plans_skip_t;

#define PLANS_SKIP_LIMIT 64

/*
 * The versions that an instance holds, sent to a peer to request a missing
 * part: the version in force of each part or, in a pending set, the waiting
 * one; 0: none.
 */
typedef struct {
	uint64_t in_force; /* version of the whole */
	uint32_t current;  /* the set in force; PLANS_SETS: none */
	struct {
		uint32_t n;
		uint64_t versions[PLANS_PART_LIMIT];
	} sets[PLANS_SETS];
	plans_skip_t skip[PLANS_SKIP_LIMIT]; /* parts that wait or were refused
					      */
	uint32_t n_skip;
} plans_held_t;

void plans_sets_held(const plans_sets_t *sets, plans_held_t *held);

/* The first part in force that the holder of held lacks, or NULL. */
const plans_t *plans_sets_missing(
    const plans_sets_t *sets, const plans_held_t *held);

#endif
