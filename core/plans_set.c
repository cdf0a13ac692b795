#include "core/plans_set.h"

#include <string.h>

static uint64_t
part_version(const plans_t *part)
{
	return part == NULL ? 0 : part->head.version;
}

static bool
has_same_digest(const plans_t *a, const plans_t *b)
{
	return b != NULL &&
	       memcmp(a->head.digest, b->head.digest, DIGEST_BYTES) == 0;
}

static void
part_replace(plans_t **dest, plans_t *part)
{
	plans_t *old = *dest;

	*dest = plans_ref(part);
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
set_highest_version(const plans_set_t *set)
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
set_create(plans_sets_t *sets, const plans_t *part)
{
	int index = -1;

	for (int i = 0; i < PLANS_SETS; i++) {
		if (i == sets->current)
			continue;
		if (index < 0 || set_highest_version(&sets->sets[i]) <
				     set_highest_version(&sets->sets[index]))
			index = i;
	}
	if (part->head.version <= set_highest_version(&sets->sets[index]))
		return -1;
	set_clear(&sets->sets[index]);
	set_init(&sets->sets[index], plans_parts(part));
	return index;
}

plans_verdict_t
plans_sets_classify(plans_sets_t *sets, const plans_t *part)
{
	int found = set_find(sets, plans_parts(part));
	const plans_t *known;
	const plans_set_t *set;

	if (found < 0 || found != sets->current) {
		if (part->head.version <= part_version(sets->whole))
			return PLANS_BEHIND;
		if (found < 0)
			found = set_create(sets, part);
		if (found < 0)
			return PLANS_BEHIND;
	}
	set = &sets->sets[found];
	known = set->in_force[part->part];
	if (part->head.version < part_version(known))
		return PLANS_BEHIND;
	if (part->head.version == part_version(known))
		return has_same_digest(part, known) ? PLANS_SAME
						    : PLANS_CONFLICT;
	known = set->waiting[part->part];
	if (part->head.version == part_version(known))
		return has_same_digest(part, known) ? PLANS_WAITING
						    : PLANS_CONFLICT;
	return PLANS_NEW;
}

/* Input of a selection. */
typedef struct {
	const plans_set_t *set;
	plans_t *offered;
	plans_compatible_t compatible;
	void *data;
	bool all_compatible;
} selector_t;

/* Falls back to the part in force. */
static bool
select_in_force(
    const selector_t *selector, plans_selection_t *selection, uint32_t i)
{
	plans_t *part = selector->set->in_force[i];

	selection->parts[i] = part;
	return part != NULL && (selector->all_compatible ||
				   selector->compatible(part, selector->data));
}

static bool
select_newest(
    const selector_t *selector, plans_selection_t *selection, uint32_t i)
{
	plans_t *part = selector->set->waiting[i];

	if (selector->offered != NULL && selector->offered->part == i)
		part = selector->offered;
	selection->parts[i] = part;
	if (part != NULL && selector->compatible(part, selector->data))
		return true;
	return select_in_force(selector, selection, i);
}

/*
 * Finds a new part that shares a key with another one. Parts in force share
 * none. Of two new parts the one with the higher index is returned, so that the
 * other one stays in the selection.
 */
static bool
find_shared_key(const selector_t *selector, const plans_selection_t *selection,
    uint32_t *conflicting)
{
	plans_t *const *in_force = selector->set->in_force;

	for (uint32_t i = 0; i < selection->n; i++) {
		if (selection->parts[i] == in_force[i])
			continue;
		for (uint32_t k = 0; k < selection->n; k++) {
			if (k == i || !plans_share_key(selection->parts[i],
					  selection->parts[k]))
				continue;
			*conflicting =
			    selection->parts[k] == in_force[k] ? i : MAX(i, k);
			return true;
		}
	}
	return false;
}

static bool
set_select(const selector_t *selector, plans_selection_t *selection)
{
	uint32_t conflicting;

	selection->n = selector->set->n;
	selection->key_conflict = false;
	for (uint32_t i = 0; i < selection->n; i++) {
		if (!select_newest(selector, selection, i))
			return false;
	}
	/* Ends, as each iteration reverts one part to the one in force. */
	while (find_shared_key(selector, selection, &conflicting)) {
		selection->key_conflict = true;
		if (!select_in_force(selector, selection, conflicting))
			return false;
	}
	selection->changed = false;
	for (uint32_t i = 0; i < selection->n; i++) {
		if (selection->parts[i] != selector->set->in_force[i])
			selection->changed = true;
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
	if (n == 2 && set_highest_version(&sets->sets[order[0]]) <
			  set_highest_version(&sets->sets[order[1]])) {
		order[0] = 1;
		order[1] = 0;
	}
	if (sets->current >= 0)
		order[n++] = sets->current;
	return n;
}

bool
plans_sets_select(const plans_sets_t *sets, plans_t *offered,
    plans_compatible_t compatible, void *data, bool all_compatible,
    plans_selection_t *selection)
{
	int order[PLANS_SETS];
	int n = set_order(sets, order);
	bool key_conflict = false;

	for (int i = 0; i < n; i++) {
		const plans_set_t *set = &sets->sets[order[i]];
		selector_t selector = {.set = set,
		    .compatible = compatible,
		    .data = data,
		    .all_compatible =
			all_compatible && order[i] == sets->current};

		if (offered != NULL && plans_parts(offered) == set->n)
			selector.offered = offered;
		selection->set = order[i];
		if (set_select(&selector, selection)) {
			selection->key_conflict =
			    selection->key_conflict || key_conflict;
			return true;
		}
		key_conflict = key_conflict || selection->key_conflict;
	}
	selection->changed = false;
	selection->key_conflict = key_conflict;
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
	if (set->n > 0 && set_highest_version(set) == 0)
		set_clear(set);
}

void
plans_sets_adopt(plans_sets_t *sets, const plans_selection_t *selection)
{
	plans_set_t *set = &sets->sets[selection->set];

	for (uint32_t i = 0; i < set->n; i++) {
		part_replace(&set->in_force[i], selection->parts[i]);
		if (part_version(set->waiting[i]) <=
		    part_version(set->in_force[i]))
			part_replace(&set->waiting[i], NULL);
	}
	if (sets->current >= 0 && sets->current != selection->set)
		set_clear(&sets->sets[sets->current]);
	sets->current = selection->set;
	plans_unref(sets->whole);
	sets->whole = plans_combine(set->in_force, set->n);
	for (int i = 0; i < PLANS_SETS; i++) {
		if (i != sets->current)
			set_prune(&sets->sets[i], sets->whole->head.version);
	}
	sets->changes++;
}

bool
plans_sets_add_waiting(plans_sets_t *sets, plans_t *part)
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
    uint64_t version, bool allow_older)
{
	if (part_skipped(held, part))
		return false;
	if (in_force)
		return part->head.version > version;
	if (part->head.version <= held->in_force)
		return false;
	return allow_older ? part->head.version != version
			   : part->head.version > version;
}

static const plans_t *
set_missing(const plans_set_t *set, const plans_held_t *held, bool allow_older)
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
		if (part_useful(held, set->in_force[i], in_force, versions[i],
			allow_older))
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
