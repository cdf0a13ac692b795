#ifndef FAKES_FAKE_ENGINE_H
#define FAKES_FAKE_ENGINE_H

#include "fake_http.h"

/* The state that an engine reports, and the commands that change it. */
typedef struct {
	int load_ms;	   /* duration of a command */
	int refuse_fences; /* 0: ignores them */
	pthread_mutex_t lock;
	json_t *model;
	json_t *version;
	json_t *adapters;
	json_t *role;
	json_int_t fence; /* highest seen */
	int running;
	int most_running; /* commands at a time */
	int n_applied;
	int n_refused;
} fake_engine_t;

void fake_engine_init(fake_engine_t *engine);

/* GET /state */
enum MHD_Result fake_engine_state(
    fake_engine_t *engine, fake_request_t *request);

/* POST /command; answers 409 to an old fence and 503 while busy. */
enum MHD_Result fake_engine_command(
    fake_engine_t *engine, fake_request_t *request);

#endif
