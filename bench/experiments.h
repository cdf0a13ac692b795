#ifndef BENCH_EXPERIMENTS_H
#define BENCH_EXPERIMENTS_H

#include <jansson.h>
#include <stdint.h>

/* Each appends its tables. The first six are in virtual time and depend on the
 * seed alone. */
void experiment_policies(json_t *tables, uint64_t seed);
void experiment_isolation(json_t *tables, uint64_t seed);
void experiment_priorities(json_t *tables, uint64_t seed);
void experiment_overload(json_t *tables, uint64_t seed);
void experiment_recovery(json_t *tables, uint64_t seed);
void experiment_spill(json_t *tables, uint64_t seed);

/* Wall-clock figures of one core. */
void speed_route(json_t *tables, uint64_t seed);
void speed_queue(json_t *tables, uint64_t seed);
void speed_directory(json_t *tables, uint64_t seed);

#endif
