#ifndef TESTS_SHARE_LISTS_H
#define TESTS_SHARE_LISTS_H

#include <string.h>

#include "core/snapshot.h"

/* Small fleet, plans and allowances lists for tests of shares. */

static inline void
lists_stamp(list_head_t *head, uint64_t version, const char *text)
{
	head->refs = 1;
	head->version = version;
	list_head_set_text(head, text, strlen(text));
}

static inline fleet_t *
fleet_build(uint64_t version, size_t capacity)
{
	fleet_t *fleet = g_new0(fleet_t, 1);
	char text[32];

	g_snprintf(text, sizeof(text), "fleet %lu", (unsigned long)version);
	lists_stamp(&fleet->head, version, text);
	fleet->instances = g_new0(instance_t, capacity);
	return fleet;
}

static inline void
fleet_put(
    fleet_t *fleet, const char *name, const char *zone, member_state_t state)
{
	instance_t *instance = &fleet->instances[fleet->n_instances++];

	instance->name = g_strdup(name);
	instance->zone = g_strdup(zone);
	instance->state = state;
}

/* Builds a list of teams on plan "p" from "name:home name:home"; home "-" is
 * none. */
static inline plans_t *
plans_build(uint64_t version, const char *spec)
{
	plans_t *plans = g_new0(plans_t, 1);
	char **words = g_strsplit(spec, " ", -1);
	char *text =
	    g_strdup_printf("plans %lu %s", (unsigned long)version, spec);

	lists_stamp(&plans->head, version, text);
	plans->n_teams = g_strv_length(words);
	plans->teams = g_new0(team_t, plans->n_teams);
	for (size_t i = 0; i < plans->n_teams; i++) {
		char **pair = g_strsplit(words[i], ":", 2);

		plans->teams[i].name = g_strdup(pair[0]);
		plans->teams[i].plan = g_strdup("p");
		if (!g_str_equal(pair[1], "-"))
			plans->teams[i].home = g_strdup(pair[1]);
		g_strfreev(pair);
	}
	plans_index(plans);
	g_strfreev(words);
	g_free(text);
	return plans;
}

/* Builds a list of n zones "z0".. in regions "r0".. with the given weights, and
 * one plan "p" that may use the regions whose bits are set in mask. */
static inline allowances_t *
allowances_build(uint64_t version, const uint32_t *weights, size_t n,
    uint32_t mask, int64_t rate, int64_t burst)
{
	allowances_t *a = g_new0(allowances_t, 1);
	char text[32];
	size_t used = 0;

	g_snprintf(text, sizeof(text), "allow %lu", (unsigned long)version);
	lists_stamp(&a->head, version, text);
	a->n_zones = n;
	a->zones = g_new0(zone_t, n);
	a->n_plans = 1;
	a->plans = g_new0(plan_t, 1);
	a->plans[0].name = g_strdup("p");
	a->plans[0].rate = rate;
	a->plans[0].burst = burst;
	a->plans[0].n_use = 1;
	a->plans[0].use = g_new0(plan_use_t, 1);
	a->plans[0].use[0].service = g_strdup("s");
	a->plans[0].use[0].regions = g_new0(char *, n + 1);
	for (size_t i = 0; i < n; i++) {
		a->zones[i].name = g_strdup_printf("z%zu", i);
		a->zones[i].region = g_strdup_printf("r%zu", i);
		a->zones[i].weight = weights[i];
		if (mask & (1U << i))
			a->plans[0].use[0].regions[used++] =
			    g_strdup(a->zones[i].region);
	}
	return a;
}

#endif
