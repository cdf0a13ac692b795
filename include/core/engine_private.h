#ifndef CORE_ENGINE_PRIVATE_H
#define CORE_ENGINE_PRIVATE_H

#include "core/engine.h"

/* Declarations that the files of the engine module share. */

typedef struct {
	char name[NAME_LIMIT + 1];
	char url[512];
	char service[NAME_LIMIT + 1];
	bool listed; /* live and with a desired state in the lists */
	bool refuses_fences;
	engine_config_t desired;

	char group[OWNER_KEY_LIMIT];
	bool owned;
	time_us_t owned_since;
	uint64_t owned_version; /* sum of fleet and allowances version then */

	engine_state_t state;
	time_us_t state_polled_at; /* when state was queried; 0: not known */
	time_us_t polled_at; /* when the last poll was decided; 0: poll now */

	uint64_t last_fence;	 /* last number of this ownership; 0: none */
	uint64_t running_fence;	 /* number of the running command; 0: none */
	time_us_t running_until; /* time by which it must have ended */
	char running_group[OWNER_KEY_LIMIT];
	unsigned int failures;
	time_us_t retry_at;
} engine_target_t;

/* Division of the weight store's permits among zones; digest 0: none. */
typedef struct {
	uint64_t digest;
	uint32_t permits; /* of this zone; UINT32_MAX: no limit */
} division_t;

struct engines {
	membership_t *membership;
	char zone[NAME_LIMIT + 1];
	int64_t process_start_s;
	fleet_t *fleet;
	allowances_t *allowances;
	GHashTable *targets; /* name -> engine_target_t */
	division_t division; /* in force */
	uint64_t epoch;
	engine_in_flight_t in_flight;
	void *in_flight_context;
	engine_faults_t faults;
};

/* engine_group.c: updates which groups this instance owns. */
void engines_update_ownership(engines_t *engines, time_us_t now);

/* engine_fence.c */
uint64_t engine_next_fence(const engines_t *engines, const engine_target_t *t);

#endif
