#include "lists.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/lists.h"

#define ZONES 26

/* Zones as in the plan of sizes, or fewer for a small fleet. */
int
bench_zones(int instances)
{
	return MIN(ZONES, MAX(3, instances / 3));
}

char *
fleet_text(int instances, uint64_t version)
{
	GString *text = g_string_new(NULL);
	int zones = bench_zones(instances);

	g_string_printf(
	    text, "version: %" G_GUINT64_FORMAT "\ninstances:\n", version);
	for (int i = 0; i < instances; i++)
		g_string_append_printf(text,
		    "  - { name: i%d, zone: zone-%d, http: 10.0.%d.%d:80, "
		    "peer: 10.1.%d.%d:81, state: live }\n",
		    i, i % zones, i / 250, i % 250 + 1, i / 250, i % 250 + 1);
	g_string_append(text, "targets:\n");
	for (int i = 0; i < instances * 670 / 400; i++)
		g_string_append_printf(text,
		    "  - { name: t%d, zone: zone-%d, service: model-%d, url: "
		    "\"http://10.2.%d.%d:90\", slots: 32, state: live }\n",
		    i, i % zones, i % BENCH_SERVICES, i / 250, i % 250 + 1);
	return g_string_free(text, FALSE);
}

static char *
allowances_text(int instances, uint64_t version, bool shifted)
{
	GString *text = g_string_new(NULL);
	int zones = bench_zones(instances);

	g_string_printf(
	    text, "version: %" G_GUINT64_FORMAT "\nzones:\n", version);
	for (int i = 0; i < zones; i++)
		g_string_append_printf(text,
		    "  - { name: zone-%d, region: region-%d, weight: %d }\n", i,
		    i % BENCH_REGIONS, shifted && i % 2 == 0 ? 2 : 1);
	g_string_append(text, "services:\n");
	for (int i = 0; i < BENCH_SERVICES; i++)
		g_string_append_printf(
		    text, "  - { name: model-%d, kind: engine }\n", i);
	g_string_append(text,
	    "plans:\n  - name: basic\n    rate: 100000\n    burst: 1000000\n"
	    "    priority: 1\n    use:\n");
	for (int i = 0; i < BENCH_SERVICES; i++) {
		g_string_append_printf(
		    text, "      - { service: model-%d, regions: [", i);
		for (int r = 0; r < MIN(BENCH_REGIONS, zones); r++)
			g_string_append_printf(
			    text, "%sregion-%d", r ? ", " : "", r);
		g_string_append(text, "] }\n");
	}
	return g_string_free(text, FALSE);
}

char *
part_text(
    int teams, int instances, uint32_t part, uint32_t parts, uint64_t version)
{
	GString *text = g_string_new(NULL);
	int regions = MIN(BENCH_REGIONS, bench_zones(instances));
	size_t empty;

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\n", version);
	if (parts > 1)
		g_string_append_printf(
		    text, "part: %u\nparts: %u\n", part, parts);
	g_string_append(text, "teams:\n");
	empty = text->len;
	for (int i = 0; i < teams; i++) {
		g_autofree char *name = g_strdup_printf("team-%d", i);
		g_autofree char *hash =
		    g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);

		if (plans_part_of(name, parts) != part)
			continue;
		g_string_append_printf(
		    text, "  - name: %s\n    plan: basic\n", name);
		/* A third of the requests are bound to a home. */
		if (i % 3 == 0)
			g_string_append_printf(
			    text, "    home: region-%d\n", i % regions);
		g_string_append_printf(
		    text, "    keys: [{ id: k, sha256: %s }]\n", hash);
	}
	if (text->len == empty)
		g_string_append(text, "  []\n");
	return g_string_free(text, FALSE);
}

char *
plans_text(int teams, int instances, uint64_t version)
{
	return part_text(teams, instances, 0, 1, version);
}

/* Stops on lists that the parser refuses: the figures would mean nothing. */
static void *
parsed(void *list, const GError *error)
{
	if (list != NULL)
		return list;
	fprintf(stderr, "capacity_bench: %s\n", error->message);
	exit(EXIT_FAILURE);
}

plans_t *
part_parse(const char *text)
{
	GError *error = NULL;
	plans_t *plans = plans_parse("plans", text, strlen(text), &error);

	return parsed(plans, error);
}

fleet_t *
fleet_make(int instances, uint64_t version)
{
	g_autofree char *text = fleet_text(instances, version);
	GError *error = NULL;
	fleet_t *fleet = fleet_parse("fleet", text, strlen(text), &error);

	return parsed(fleet, error);
}

plans_t *
plans_make(int teams, int instances, uint64_t version)
{
	g_autofree char *text = plans_text(teams, instances, version);
	GError *error = NULL;
	plans_t *plans = plans_parse("plans", text, strlen(text), &error);

	return parsed(plans, error);
}

allowances_t *
allowances_make(int instances, uint64_t version, bool shifted)
{
	g_autofree char *text = allowances_text(instances, version, shifted);
	GError *error = NULL;
	allowances_t *allowances =
	    allowances_parse("allowances", text, strlen(text), &error);

	return parsed(allowances, error);
}
