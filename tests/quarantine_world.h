#ifndef TESTS_QUARANTINE_WORLD_H
#define TESTS_QUARANTINE_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/quarantine.h"

/*
 * Instances and targets in virtual time. Each instance has a quarantine and a
 * clock of its own, and sends its reports to a few random others, as
 * gateway/gossip.c does. A target crashes when it begins to answer a request
 * with a deadly part; an instance sees the end of its own requests only.
 */

#define WORLD_DEADLY_LIMIT 2
#define WORLD_FIRST_PARTS 6
#define WORLD_SECOND_PARTS 60
#define WORLD_SOUND (WORLD_FIRST_PARTS + WORLD_SECOND_PARTS)

typedef struct {
	bool first; /* the first part of its requests, else the second one */
	int permille;
	time_us_t begin;
	time_us_t end;
} world_deadly_t;

typedef struct {
	const char *name;
	int n_instances;
	int n_regions;
	int n_targets;
	int rate; /* requests/s */
	time_us_t duration;
	world_deadly_t deadly[WORLD_DEADLY_LIMIT];
	int n_deadly;
	time_us_t herd_at; /* all targets of a region crash; 0: none */
	/* Targets crash one after the other; serial_gap 0: none. */
	time_us_t serial_begin;
	time_us_t serial_end;
	time_us_t serial_gap;
	/* An instance holds this sound part without a cause. */
	time_us_t wrong_at; /* 0: never */
	int wrong_part;
	int begin_ms; /* longest time until an answer begins; 0: 300 */
	int n_restarts;
	int message_loss; /* percent */
} world_config_t;

typedef struct {
	unsigned n_crashes;
	unsigned n_crashes_unheld; /* before an instance held it */
	time_us_t fifth_at;	   /* 0: never */
	time_us_t first_at;
	time_us_t held_at;	/* by an instance */
	time_us_t held_all_at;	/* by all instances */
	unsigned n_late;	/* sends later than the limit */
	unsigned n_late_probes; /* of these */
} world_deadly_result_t;

typedef struct {
	world_deadly_result_t deadly[WORLD_DEADLY_LIMIT];
	unsigned n_sound;
	unsigned n_sound_refused; /* for a held feature */
	/* Sound requests with the usual first part, since the limit. */
	unsigned n_window;
	unsigned n_window_begun;
	/* Sound parts that were held. */
	unsigned n_wrong;
	time_us_t wrong_longest;
	/* Longest time after which one still had a request refused. */
	time_us_t wrong_refused;
	int wrong_part;
	unsigned n_wrong_end; /* still held at the end */
	unsigned n_probes;
} world_result_t;

world_result_t world_run(const world_config_t *config, uint64_t seed);

#endif
