#ifndef BENCH_LISTS_H
#define BENCH_LISTS_H

#include "core/snapshot.h"

/* Lists of a fleet of a given size, as in docs/CAPACITY.md. They are parsed
 * from text, and a text that the parser refuses ends the program: the figures
 * would mean nothing. */

#define BENCH_REGIONS 7
#define BENCH_SERVICES 29

/* Zones as in the plan of sizes, or fewer for a small fleet. */
int bench_zones(int instances);

fleet_t *fleet_make(int instances, uint64_t version);

/* shifted: every second zone has twice the weight. */
allowances_t *allowances_make(int instances, uint64_t version, bool shifted);

plans_t *part_parse(const char *text);

plans_t *plans_make(int teams, int instances, uint64_t version);

/* The caller frees the text. */
char *fleet_text(int instances, uint64_t version);
/* One part of a plans list of so many teams. */
char *part_text(
    int teams, int instances, uint32_t part, uint32_t parts, uint64_t version);
char *plans_text(int teams, int instances, uint64_t version);

#endif
