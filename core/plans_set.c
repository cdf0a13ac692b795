#include "core/plans_set.h"

#include <string.h>

static uint64_t
part_version(const plans_t *part)
{
	return part == NULL ? 0 : part->head.version;
}

static bool
same_text(const plans_t *a, const plans_t *b)
{
	return b != NULL &&
	       memcmp(a->head.digest, b->head.digest, DIGEST_BYTES) == 0;
}

static void
part_replace(plans_t **place, plans_t *part)
{
	plans_t *old = *place;

	*place = plans_ref(part);
	plans_unref(old);
}

static void
set_clear(plans_set_t *set)
{
	for (uint32_t i = 0; i < set->n; i++) {
		plans_unref(set->in_force[i]);
		plans_unref(set->waiting[i]);
	}
	g_free(set->in_force);
	g_free(set->waiting);
	memset(set, 0, sizeof(*set));
}

static void
set_init(plans_set_t *set, uint32_t n)
{
	set->n = n;
	set->in_force = g_new0(plans_t *, n);
	set->waiting = g_new0(plans_t *, n);
}

/* The highest version in a pending set; 0 for an unused one. */
static uint64_t
set_highest(const plans_set_t *set)
{
	uint64_t highest = 0;

	for (uint32_t i = 0; i < set->n; i++)
		highest = MAX(highest, part_version(set->waiting[i]));
	return highest;
}

void
plans_sets_init(plans_sets_t *sets)
{
	memset(sets, 0, sizeof(*sets));
	sets->current = -1;
}

void
plans_sets_clear(plans_sets_t *sets)
{
	for (int i = 0; i < PLANS_SETS; i++)
		set_clear(&sets->sets[i]);
	plans_unref(sets->whole);
	plans_sets_init(sets);
}

static int
set_find(const plans_sets_t *sets, uint32_t n)
{
	for (int i = 0; i < PLANS_SETS; i++) {
		if (sets->sets[i].n == n)
			return i;
	}
	return -1;
}

/*
 * Replaces the pending set with the lowest versions by one for the partitioning
 * of this part. Fails if the part's version is no higher than those, so that
 * all instances keep the same sets.
 */
static int
set_make(plans_sets_t *sets, const plans_t *part)
{
	int place = -1;

	for (int i = 0; i < PLANS_SETS; i++) {
		if (i == sets->current)
			continue;
		if (place < 0 || set_highest(&sets->sets[i]) <
				     set_highest(&sets->sets[place]))
			place = i;
	}
	if (part->head.version <= set_highest(&sets->sets[place]))
		return -1;
	set_clear(&sets->sets[place]);
	set_init(&sets->sets[place], plans_parts(part));
	return place;
}

plans_verdict_t
plans_sets_judge(plans_sets_t *sets, const plans_t *part)
{
	int found = set_find(sets, plans_parts(part));
	const plans_t *known;
	const plans_set_t *set;

	if (found < 0 || found != sets->current) {
		if (part->head.version <= part_version(sets->whole))
			return PLANS_BEHIND;
		if (found < 0)
			found = set_make(sets, part);
		if (found < 0)
			return PLANS_BEHIND;
	}
	set = &sets->sets[found];
	known = set->in_force[part->part];
	if (part->head.version < part_version(known))
		return PLANS_BEHIND;
	if (part->head.version == part_version(known))
		return same_text(part, known) ? PLANS_SAME : PLANS_CONFLICT;
	known = set->waiting[part->part];
	if (part->head.version == part_version(known))
		return same_text(part, known) ? PLANS_WAITS : PLANS_CONFLICT;
	return PLANS_NEW;
}

/* Input of a selection. */
typedef struct {
	const plans_set_t *set;
	plans_t *offered;
	plans_fit_t fits;
	void *data;
	bool all_fit;
} chooser_t;

/* Falls back to the part in force. */
static bool
choose_in_force(const chooser_t *chooser, plans_choice_t *choice, uint32_t i)
{
	plans_t *part = chooser->set->in_force[i];

	choice->parts[i] = part;
	return part != NULL &&
	       (chooser->all_fit || chooser->fits(part, chooser->data));
}

static bool
choose_newest(const chooser_t *chooser, plans_choice_t *choice, uint32_t i)
{
	plans_t *part = chooser->set->waiting[i];

	if (chooser->offered != NULL && chooser->offered->part == i)
		part = chooser->offered;
	choice->parts[i] = part;
	if (part != NULL && chooser->fits(part, chooser->data))
		return true;
	return choose_in_force(chooser, choice, i);
}

/*
 * Finds a new part that shares a key with another one. Parts in force share
 * none. Of two new parts the one with the higher index is returned, so that the
 * other one stays in the selection.
 */
static bool
find_shared(
    const chooser_t *chooser, const plans_choice_t *choice, uint32_t *culprit)
{
	plans_t *const *in_force = chooser->set->in_force;

	for (uint32_t i = 0; i < choice->n; i++) {
		if (choice->parts[i] == in_force[i])
			continue;
		for (uint32_t k = 0; k < choice->n; k++) {
			if (k == i || !plans_share_key(
					  choice->parts[i], choice->parts[k]))
				continue;
			*culprit =
			    choice->parts[k] == in_force[k] ? i : MAX(i, k);
			return true;
		}
	}
	return false;
}

static bool
set_choose(const chooser_t *chooser, plans_choice_t *choice)
{
	uint32_t culprit;

	choice->n = chooser->set->n;
	choice->doubtful = false;
	for (uint32_t i = 0; i < choice->n; i++) {
		if (!choose_newest(chooser, choice, i))
			return false;
	}
	/* Ends, as each iteration reverts one part to the one in force. */
	while (find_shared(chooser, choice, &culprit)) {
		choice->doubtful = true;
		if (!choose_in_force(chooser, choice, culprit))
			return false;
	}
	choice->changed = false;
	for (uint32_t i = 0; i < choice->n; i++) {
		if (choice->parts[i] != chooser->set->in_force[i])
			choice->changed = true;
	}
	return true;
}

/* Orders the sets: pending ones by highest version, then the current one. */
static int
set_order(const plans_sets_t *sets, int order[PLANS_SETS])
{
	int n = 0;

	for (int i = 0; i < PLANS_SETS; i++) {
		if (i != sets->current && sets->sets[i].n > 0)
			order[n++] = i;
	}
	if (n == 2 && set_highest(&sets->sets[order[0]]) <
			  set_highest(&sets->sets[order[1]])) {
		order[0] = 1;
		order[1] = 0;
	}
	if (sets->current >= 0)
		order[n++] = sets->current;
	return n;
}

bool
plans_sets_choose(const plans_sets_t *sets, plans_t *offered, plans_fit_t fits,
    void *data, bool all_fit, plans_choice_t *choice)
{
	int order[PLANS_SETS];
	int n = set_order(sets, order);
	bool doubtful = false;

	for (int i = 0; i < n; i++) {
		const plans_set_t *set = &sets->sets[order[i]];
		chooser_t chooser = {.set = set,
		    .fits = fits,
		    .data = data,
		    .all_fit = all_fit && order[i] == sets->current};

		if (offered != NULL && plans_parts(offered) == set->n)
			chooser.offered = offered;
		choice->set = order[i];
		if (set_choose(&chooser, choice)) {
			choice->doubtful = choice->doubtful || doubtful;
			return true;
		}
		doubtful = doubtful || choice->doubtful;
	}
	choice->changed = false;
	choice->doubtful = doubtful;
	return false;
}

/* Drops waiting parts that are not above the version in force. */
static void
set_prune(plans_set_t *set, uint64_t version)
{
	for (uint32_t i = 0; i < set->n; i++) {
		if (part_version(set->waiting[i]) <= version)
			part_replace(&set->waiting[i], NULL);
	}
	if (set->n > 0 && set_highest(set) == 0)
		set_clear(set);
}

void
plans_sets_adopt(plans_sets_t *sets, const plans_choice_t *choice)
{
	plans_set_t *set = &sets->sets[choice->set];

	for (uint32_t i = 0; i < set->n; i++) {
		part_replace(&set->in_force[i], choice->parts[i]);
		if (part_version(set->waiting[i]) <=
		    part_version(set->in_force[i]))
			part_replace(&set->waiting[i], NULL);
	}
	if (sets->current >= 0 && sets->current != choice->set)
		set_clear(&sets->sets[sets->current]);
	sets->current = choice->set;
	plans_unref(sets->whole);
	sets->whole = plans_combine(set->in_force, set->n);
	for (int i = 0; i < PLANS_SETS; i++) {
		if (i != sets->current)
			set_prune(&sets->sets[i], sets->whole->head.version);
	}
	sets->changes++;
}

bool
plans_sets_keep(plans_sets_t *sets, plans_t *part)
{
	plans_set_t *set = &sets->sets[set_find(sets, plans_parts(part))];

	if (part->head.version <= part_version(set->waiting[part->part]))
		return false;
	part_replace(&set->waiting[part->part], part);
	sets->changes++;
	return true;
}

bool
plans_sets_in_force(const plans_sets_t *sets, const plans_t *part)
{
	const plans_set_t *set;

	if (sets->current < 0)
		return false;
	set = &sets->sets[sets->current];
	return part->part < set->n && set->in_force[part->part] == part;
}

plans_t *
plans_sets_waiting(const plans_sets_t *sets)
{
	plans_t *newest = NULL;

	for (int i = 0; i < PLANS_SETS; i++) {
		const plans_set_t *set = &sets->sets[i];

		for (uint32_t k = 0; k < set->n; k++) {
			if (part_version(set->waiting[k]) >
			    part_version(newest))
				newest = set->waiting[k];
		}
	}
	return newest;
}

static void
skip_add(plans_held_t *held, const plans_t *part)
{
	if (part == NULL || held->n_skip == PLANS_SKIP_LIMIT)
		return;
	held->skip[held->n_skip++] =
	    (plans_skip_t){part->part, plans_parts(part), part->head.version};
}

void
plans_sets_held(const plans_sets_t *sets, plans_held_t *held)
{
	memset(held, 0, sizeof(*held));
	held->in_force = part_version(sets->whole);
	held->current =
	    sets->current < 0 ? PLANS_SETS : (uint32_t)sets->current;
	for (int i = 0; i < PLANS_SETS; i++) {
		const plans_set_t *set = &sets->sets[i];

		held->sets[i].n = set->n;
		for (uint32_t k = 0; k < set->n; k++) {
			plans_t *part = set->in_force[k];

			if (i == sets->current)
				skip_add(held, set->waiting[k]);
			else
				part = set->waiting[k];
			held->sets[i].versions[k] = part_version(part);
		}
	}
}

static bool
part_skipped(const plans_held_t *held, const plans_t *part)
{
	for (uint32_t i = 0; i < held->n_skip; i++) {
		const plans_skip_t *skip = &held->skip[i];

		if (skip->part == part->part &&
		    skip->parts == plans_parts(part) &&
		    skip->version == part->head.version)
			return true;
	}
	return false;
}

/* Whether an instance that has this version of a part can use ours. */
static bool
part_useful(const plans_held_t *held, const plans_t *part, bool in_force,
    uint64_t version, bool lower)
{
	if (part_skipped(held, part))
		return false;
	if (in_force)
		return part->head.version > version;
	if (part->head.version <= held->in_force)
		return false;
	return lower ? part->head.version != version
		     : part->head.version > version;
}

static const plans_t *
set_missing(const plans_set_t *set, const plans_held_t *held, bool lower)
{
	static const uint64_t none[PLANS_PART_LIMIT];
	const uint64_t *versions = none;
	bool in_force = false;

	for (uint32_t i = 0; i < PLANS_SETS; i++) {
		if (held->sets[i].n != set->n)
			continue;
		versions = held->sets[i].versions;
		in_force = i == held->current;
	}
	for (uint32_t i = 0; i < set->n; i++) {
		if (part_useful(
			held, set->in_force[i], in_force, versions[i], lower))
			return set->in_force[i];
	}
	return NULL;
}

const plans_t *
plans_sets_missing(const plans_sets_t *sets, const plans_held_t *held)
{
	const plans_set_t *set;
	const plans_t *part;

	if (sets->current < 0)
		return NULL;
	set = &sets->sets[sets->current];
	part = set_missing(set, held, false);
	/* A part older than the pending one may be compatible. */
	return part != NULL ? part : set_missing(set, held, true);
}
