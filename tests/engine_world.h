#ifndef TESTS_ENGINE_WORLD_H
#define TESTS_ENGINE_WORLD_H

#include "core/engine.h"
#include "share_world.h"

/*
 * Simulation of the engine modules of all instances of a share simulation, and
 * of engines: in each zone three that refuse old fencing numbers and three that
 * ignore fencing numbers.
 */

#define ENGINES_OF_SERVICE 3 /* in a zone */
#define N_ENGINES 18
#define STORE_LOADS 4

typedef struct {
	engine_faults_t rules;
	bool no_start_limit; /* sends a command regardless of its age */
} engine_world_faults_t;

/* A command in transit to an engine, or running there. */
typedef struct {
	engine_action_t action;
	int process, engine;
	time_us_t decided; /* simulated time */
	time_us_t at;	   /* time of the next event */
	bool sent, running, fails;
	bool late; /* sent after a pause that followed the last check of the
		      clock */
} command_t;

typedef struct {
	bool refuses;
	engine_state_t state;
	time_us_t applied; /* when the last accepted command was decided */
	int applied_by;
} model_engine_t;

typedef struct {
	world_t *world;
	engine_world_faults_t faults;
	engines_t *modules[WORLD_PROCESSES];
	model_engine_t engines[N_ENGINES];
	GArray *commands; /* command_t */
	const char *violation;
	unsigned int n_done, n_fenced, n_late;
} engine_world_t;

engine_world_t *engine_world_create(
    uint32_t seed, world_options_t options, engine_world_faults_t faults);
void engine_world_destroy(engine_world_t *ew);
void engine_world_step(engine_world_t *ew);

/* Whether all instances hold their shares, so that all engines have owners. */
bool engine_world_holds_shares(engine_world_t *ew);

/* Whether all engines have the state that the newest list desires. */
bool engine_world_is_as_desired(const engine_world_t *ew);

#endif
