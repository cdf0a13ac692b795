#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "config/lists.h"
#include "config/settings.h"

/*
 * libFuzzer target for the parsers of the lists and the settings. Guards
 * against reads out of bounds, leaks, a refusal without a message, and a list
 * that is accepted though the core can't index it.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Exactly one of a result and an error with a message comes back. */
static void
result_check(const void *result, GError *error)
{
	if ((result == NULL) != (error != NULL))
		abort();
	if (error != NULL &&
	    (error->domain != CS_ERROR || error->message[0] == '\0'))
		abort();
	g_clear_error(&error);
}

static void
plans_run(const char *text, size_t len)
{
	GError *error = NULL;
	plans_t *plans = plans_parse("f", text, len, &error);

	result_check(plans, error);
	if (plans == NULL)
		return;
	if (plans->part >= plans->parts || plans->parts > PLANS_PART_LIMIT)
		abort();
	for (size_t i = 0; i < plans->n_teams; i++) {
		const team_t *team = &plans->teams[i];

		if (plans_find_team(plans, team->name) != team ||
		    plans_part_of(team->name, plans->parts) != plans->part)
			abort();
		for (size_t k = 0; k < team->n_keys; k++) {
			if (plans_find_key(plans, team->keys[k].hash)->team !=
			    team)
				abort();
		}
	}
	plans_unref(plans);
}

static void
allowances_run(const char *text, size_t len)
{
	GError *error = NULL;
	allowances_t *allowances = allowances_parse("f", text, len, &error);

	result_check(allowances, error);
	if (allowances == NULL)
		return;
	for (size_t i = 0; i < allowances->n_plans; i++) {
		const plan_t *plan = &allowances->plans[i];

		if (plan->rate < 0 || plan->burst < 0 || plan->priority < 0 ||
		    plan->priority > 3 ||
		    allowances_find_plan(allowances, plan->name) != plan)
			abort();
	}
	allowances_unref(allowances);
}

static void
fleet_run(const char *text, size_t len)
{
	GError *error = NULL;
	fleet_t *fleet = fleet_parse("f", text, len, &error);

	result_check(fleet, error);
	if (fleet == NULL)
		return;
	for (size_t i = 0; i < fleet->n_instances; i++) {
		const instance_t *instance = &fleet->instances[i];

		if (strlen(instance->name) > NAME_LIMIT ||
		    fleet_find_instance(fleet, instance->name) != instance)
			abort();
	}
	fleet_unref(fleet);
}

static void
settings_run(const char *text, size_t len)
{
	GError *error = NULL;
	settings_t *settings = settings_parse("f", text, len, &error);

	result_check(settings, error);
	if (settings != NULL && (settings->n_fleet_secrets == 0 ||
				    (settings->tls_key == NULL) !=
					(settings->tls_certificate == NULL)))
		abort();
	settings_free(settings);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	/* A copy with its exact size, so that reads past the end are seen. */
	char *text = g_malloc(MAX(len, 1));

	memcpy(text, data, len);
	plans_run(text, len);
	allowances_run(text, len);
	fleet_run(text, len);
	settings_run(text, len);
	g_free(text);
	return 0;
}
