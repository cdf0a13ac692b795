#ifndef CORE_PLANS_SET_H
#define CORE_PLANS_SET_H

#include <stdbool.h>

#include "core/snapshot.h"

/*
 * The parts of the plans list at one instance. A set is the parts of one
 * division of the list (its number of parts). One set is in force, others
 * gather.
 *
 * The version of a part only rises while its set is in force. A set of another
 * division takes over as a whole, when all its parts are there and each has a
 * version above the version in force, which is the sum of the versions of the
 * parts. So the version in force rises with each change, also of the division,
 * and parts of a division that was replaced can't come back.
 *
 * A part waits while its teams don't fit the allowances list, or while one of
 * its keys is still in another part. Parts that wait for each other, because
 * keys are exchanged between them, take over together.
 */

/* One set in force and one that gathers, or two that gather. */
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
	uint64_t changes; /* counts what was kept or adopted */
} plans_sets_t;

/*
 * A part of the plans list at the platform. watch: this instance holds a watch
 * on it; else it reads it now and then, and learns of changes from peers.
 */
typedef struct {
	uint32_t part;
	uint32_t parts;
	bool watch;
} plans_source_t;

typedef bool (*plans_fit_t)(const plans_t *part, void *data);

typedef enum {
	PLANS_NEW,
	PLANS_SAME,
	PLANS_BEHIND,
	PLANS_CONFLICT,
	PLANS_WAITS, /* it waits already */
} plans_verdict_t;

/* Parts that can be in force together; owns no references. */
typedef struct {
	int set;
	uint32_t n;
	plans_t *parts[PLANS_PART_LIMIT];
	bool changed;  /* some part is not in force yet */
	bool doubtful; /* a part was left out because of a key */
} plans_choice_t;

void plans_sets_init(plans_sets_t *sets);
void plans_sets_clear(plans_sets_t *sets);

/* Judges a part; makes room for its division when it is new. */
plans_verdict_t plans_sets_judge(plans_sets_t *sets, const plans_t *part);

/*
 * Chooses the newest parts that fit and share no key, from each set in turn,
 * newest set first. offered, unless NULL, takes the place of the part that
 * waits. all_fit: the parts in force are known to fit. Returns false when there
 * is no choice.
 */
bool plans_sets_choose(const plans_sets_t *sets, plans_t *offered,
    plans_fit_t fits, void *data, bool all_fit, plans_choice_t *choice);

/* Puts a choice into force and builds sets->whole from it. */
void plans_sets_adopt(plans_sets_t *sets, const plans_choice_t *choice);

/* Keeps a part until it fits. Returns false when a newer one waits already. */
bool plans_sets_keep(plans_sets_t *sets, plans_t *part);

/* Whether this very part is in force. */
bool plans_sets_in_force(const plans_sets_t *sets, const plans_t *part);

/* The newest part that waits, or NULL. */
plans_t *plans_sets_waiting(const plans_sets_t *sets);

/* Version and place of a part that an instance doesn't want. */
typedef struct {
	uint32_t part;
	uint32_t parts;
	uint64_t version;
} plans_skip_t;

#define PLANS_SKIP_LIMIT 64

/*
 * What an instance holds, told to a peer that shall send a part which is
 * missing: the version in force of each part or, in a set that gathers, the one
 * kept; 0: none.
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
