/* Sends commands to engines and queries their state. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counter.h"
#include "common/log.h"
#include "internal.h"

#define CONNECT_TIMEOUT_US (1 * US_PER_S)
#define STATE_TIMEOUT_US (2 * US_PER_S)
#define STATE_LIMIT 65536

typedef struct {
	daemon_t *daemon;
	engine_action_t *action;
	int status;
	GString *answer;
} engine_call_t;

static void
call_free(engine_call_t *call)
{
	g_string_free(call->answer, TRUE);
	g_free(call->action);
	g_free(call);
}

static bool
name_read(const json_t *root, const char *key, char name[NAME_LIMIT + 1])
{
	const char *text = json_string_value(json_object_get(root, key));

	return text != NULL &&
	       g_strlcpy(name, text, NAME_LIMIT + 1) <= NAME_LIMIT;
}

static bool
adapters_read(const json_t *list, engine_config_t *config)
{
	config->n_adapters = json_array_size(list);
	if (!json_is_array(list) || config->n_adapters > DESIRED_ADAPTER_LIMIT)
		return false;
	for (size_t i = 0; i < config->n_adapters; i++) {
		const char *text = json_string_value(json_array_get(list, i));

		if (text == NULL || g_strlcpy(config->adapters[i], text,
					NAME_LIMIT + 1) > NAME_LIMIT)
			return false;
	}
	return true;
}

/* Parses a state answer. Returns false when it is malformed. */
static bool
state_read(const GString *text, engine_state_t *state)
{
	json_t *root = json_loadb(text->str, text->len, 0, NULL);
	const json_t *fence = json_object_get(root, "fence");
	const json_t *busy = json_object_get(root, "busy");
	bool ok;

	memset(state, 0, sizeof(*state));
	ok = json_is_integer(fence) && json_integer_value(fence) >= 0 &&
	     json_is_boolean(busy) &&
	     name_read(root, "model", state->config.model) &&
	     name_read(root, "version", state->config.version) &&
	     name_read(root, "role", state->config.role) &&
	     adapters_read(json_object_get(root, "adapters"), &state->config);
	state->fence = (uint64_t)json_integer_value(fence);
	state->busy = json_is_true(busy);
	json_decref(root);
	return ok;
}

static void
state_done(engine_call_t *call, transfer_result_t result)
{
	daemon_t *daemon = call->daemon;
	engine_state_t state;
	bool ok = result == TRANSFER_OK && call->status == 200 &&
		  state_read(call->answer, &state);

	pthread_mutex_lock(&daemon->gate_lock);
	gate_on_engine_state(daemon->gate, call->action, ok ? &state : NULL);
	pthread_mutex_unlock(&daemon->gate_lock);
	counter_increment("engine_states", "result", ok ? "read" : "failed");
}

static command_result_t
command_result(transfer_result_t result, int status)
{
	if (result == TRANSFER_UNSENT)
		return COMMAND_UNSENT;
	if (result != TRANSFER_OK)
		return COMMAND_UNKNOWN;
	if (status == 200)
		return COMMAND_DONE;
	return status == 409 ? COMMAND_FENCED : COMMAND_FAILED;
}

static void
command_done(engine_call_t *call, transfer_result_t transfer)
{
	daemon_t *daemon = call->daemon;
	const engine_action_t *action = call->action;
	command_result_t result = command_result(transfer, call->status);
	const char *name = command_result_name(result);

	pthread_mutex_lock(&daemon->gate_lock);
	gate_on_command(daemon->gate, action, result, clock_now());
	pthread_mutex_unlock(&daemon->gate_lock);
	counter_increment("engine_commands", "result", name);
	log_event(result == COMMAND_DONE ? LOG_INFO : LOG_WARNING,
	    "engine_command", LOG_S("target", action->target),
	    LOG_S("action", action->kind == COMMAND_LOAD ? "load" : "role"),
	    LOG_S("model", action->config.model),
	    LOG_S("version", action->config.version),
	    LOG_S("role", action->config.role), LOG_I("fence", action->fence),
	    LOG_S("result", name), LOG_I("status", call->status));
}

static void
call_on_head(void *user, const transfer_head_t *head)
{
	((engine_call_t *)user)->status = head->status;
}

static bool
call_on_data(void *user, const char *data, size_t len)
{
	engine_call_t *call = user;

	if (call->answer->len + len <= STATE_LIMIT)
		g_string_append_len(call->answer, data, (gssize)len);
	return true;
}

static void
call_on_done(void *user, transfer_result_t result)
{
	engine_call_t *call = user;

	if (call->action->poll)
		state_done(call, result);
	else
		command_done(call, result);
	call_free(call);
}

static char *
command_text(const engine_action_t *action)
{
	json_t *root =
	    json_pack("{s:I,s:s,s:I}", "fence", (json_int_t)action->fence,
		"action", action->kind == COMMAND_LOAD ? "load" : "role",
		"limit_ms", (json_int_t)(COMMAND_RUN_US / US_PER_MS));
	json_t *adapters = json_array();
	char *text;

	for (size_t i = 0; i < action->config.n_adapters; i++)
		json_array_append_new(
		    adapters, json_string(action->config.adapters[i]));
	if (action->kind == COMMAND_LOAD) {
		json_object_set_new(
		    root, "model", json_string(action->config.model));
		json_object_set_new(
		    root, "version", json_string(action->config.version));
		json_object_set(root, "adapters", adapters);
	} else {
		json_object_set_new(
		    root, "role", json_string(action->config.role));
	}
	text = json_dumps(root, JSON_COMPACT);
	json_decref(adapters);
	json_decref(root);
	return text;
}

/* Returns NULL when no transfer can be started. */
static transfer_t *
call_start(engine_call_t *call)
{
	static const transfer_callbacks_t callbacks = {
	    call_on_head, call_on_data, call_on_done};
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	const engine_action_t *action = call->action;
	g_autofree char *url = g_strconcat(
	    action->url, action->poll ? "/state" : "/command", NULL);
	char *body = action->poll ? NULL : command_text(action);
	transfer_spec_t spec = {.method = action->poll ? "GET" : "POST",
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .body_len = body == NULL ? 0 : strlen(body),
	    .single_send = true,
	    .start_by = action->poll ? action->decided_at + COMMAND_START_US
				     : action->start_by,
	    .connect_timeout_us = CONNECT_TIMEOUT_US,
	    .idle_timeout_us =
		action->poll ? STATE_TIMEOUT_US : COMMAND_RUN_US + US_PER_S};
	transfer_t *transfer =
	    transfer_start(call->daemon->transfers, &spec, &callbacks, call);

	free(body);
	return transfer;
}

void
engine_execute(daemon_t *daemon, const gate_action_t *action)
{
	engine_call_t *call = g_new0(engine_call_t, 1);
	transfer_t *transfer;

	call->daemon = daemon;
	call->action = action->u.engine;
	call->answer = g_string_new(NULL);
	transfer = call_start(call);
	if (transfer != NULL)
		transfer_unref(transfer);
	else
		call_on_done(call, TRANSFER_UNSENT);
}
