#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_engine.h"

void
fake_engine_init(fake_engine_t *engine)
{
	pthread_mutex_init(&engine->lock, NULL);
	engine->load_ms = 200;
	engine->model = json_string("m");
	engine->version = json_string("v1");
	engine->adapters = json_array();
	engine->role = json_string("generate");
}

enum MHD_Result
fake_engine_state(fake_engine_t *engine, fake_request_t *request)
{
	json_t *state;
	char *text;
	enum MHD_Result result;

	pthread_mutex_lock(&engine->lock);
	state = json_pack("{s:O,s:O,s:O,s:O,s:I,s:b,s:i,s:i,s:i}", "model",
	    engine->model, "version", engine->version, "adapters",
	    engine->adapters, "role", engine->role, "fence", engine->fence,
	    "busy", engine->running > 0, "most_running", engine->most_running,
	    "applied", engine->n_applied, "refused", engine->n_refused);
	text = json_dumps(state, JSON_COMPACT);
	pthread_mutex_unlock(&engine->lock);
	json_decref(state);
	result = fake_http_reply(
	    request, 200, "application/json", NULL, text, strlen(text));
	free(text);
	return result;
}

/* Returns the status of an answer that refuses the command, or 0. */
static unsigned int
command_begin(fake_engine_t *engine, json_int_t fence)
{
	unsigned int status = 0;

	pthread_mutex_lock(&engine->lock);
	if (engine->refuse_fences && fence < engine->fence)
		status = 409;
	else if (engine->refuse_fences && engine->running > 0)
		status = 503;
	engine->n_refused += status == 409;
	engine->fence = MAX(engine->fence, fence);
	engine->running += status == 0;
	engine->most_running = MAX(engine->most_running, engine->running);
	pthread_mutex_unlock(&engine->lock);
	return status;
}

static void
member_take(json_t **member, const json_t *body, const char *key)
{
	json_t *value = json_object_get(body, key);

	if (value == NULL)
		return;
	json_decref(*member);
	*member = json_incref(value);
}

static void
command_end(fake_engine_t *engine, const json_t *body, bool done)
{
	pthread_mutex_lock(&engine->lock);
	engine->running--;
	if (done) {
		engine->n_applied++;
		member_take(&engine->model, body, "model");
		member_take(&engine->version, body, "version");
		member_take(&engine->adapters, body, "adapters");
		member_take(&engine->role, body, "role");
	}
	pthread_mutex_unlock(&engine->lock);
}

enum MHD_Result
fake_engine_command(fake_engine_t *engine, fake_request_t *request)
{
	json_t *body =
	    json_loadb(request->body->str, request->body->len, 0, NULL);
	json_int_t limit =
	    json_integer_value(json_object_get(body, "limit_ms"));
	unsigned int status = command_begin(
	    engine, json_integer_value(json_object_get(body, "fence")));
	bool done = engine->load_ms <= limit;

	if (status == 0) {
		usleep((useconds_t)MIN(engine->load_ms, limit) * 1000);
		command_end(engine, body, done);
		status = done ? 200 : 500;
	}
	json_decref(body);
	return fake_http_reply(
	    request, status, "application/json", NULL, "{}\n", 3);
}
