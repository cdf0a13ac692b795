#include <stdio.h>

#include "common/error.h"
#include "config/file.h"
#include "config/lists.h"
#include "config/settings.h"
#include "cyclamensailctl/command.h"

/* Lists seen so far, for the check against each other. */
typedef struct {
	plans_t *plans;
	allowances_t *allowances;
} check_t;

static bool
plans_check(check_t *check, const char *path, const char *text, size_t len,
    GError **error)
{
	plans_t *plans = plans_parse(path, text, len, error);

	if (plans == NULL)
		return false;
	printf("%s: plans list version %" G_GUINT64_FORMAT ", %zu teams\n",
	    path, plans->head.version, plans->n_teams);
	if (check->plans != NULL) {
		plans_unref(plans);
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "%s:0: file: is a second plans list; check one pair at a "
		    "time",
		    path);
		return false;
	}
	check->plans = plans;
	return true;
}

static bool
allowances_check(check_t *check, const char *path, const char *text, size_t len,
    GError **error)
{
	allowances_t *allowances = allowances_parse(path, text, len, error);

	if (allowances == NULL)
		return false;
	printf("%s: allowances list version %" G_GUINT64_FORMAT
	       ", %zu zones, %zu services, %zu plans\n",
	    path, allowances->head.version, allowances->n_zones,
	    allowances->n_services, allowances->n_plans);
	if (check->allowances != NULL) {
		allowances_unref(allowances);
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "%s:0: file: is a second allowances list; check one pair "
		    "at a time",
		    path);
		return false;
	}
	check->allowances = allowances;
	return true;
}

static bool
fleet_check(const char *path, const char *text, size_t len, GError **error)
{
	fleet_t *fleet = fleet_parse(path, text, len, error);

	if (fleet == NULL)
		return false;
	printf("%s: fleet list version %" G_GUINT64_FORMAT
	       ", %zu instances, %zu targets\n",
	    path, fleet->head.version, fleet->n_instances, fleet->n_targets);
	fleet_unref(fleet);
	return true;
}

static bool
settings_check(const char *path, const char *text, size_t len, GError **error)
{
	settings_t *settings = settings_parse(path, text, len, error);

	if (settings == NULL)
		return false;
	printf("%s: settings of instance %s in zone %s\n", path,
	    settings->instance, settings->zone);
	settings_free(settings);
	return true;
}

static bool
file_check(check_t *check, const char *path, GError **error)
{
	g_autofree char *text = NULL;
	file_kind_t kind;
	size_t len;

	if (!file_read(path, &text, &len, error) ||
	    !lists_detect(path, text, len, &kind, error))
		return false;
	switch (kind) {
	case FILE_PLANS:
		return plans_check(check, path, text, len, error);
	case FILE_ALLOWANCES:
		return allowances_check(check, path, text, len, error);
	case FILE_FLEET:
		return fleet_check(path, text, len, error);
	case FILE_SETTINGS:
		return settings_check(path, text, len, error);
	}
	return false;
}

int
check_run(int argc, char **argv)
{
	int n_files = command_parse(argc, argv, "FILE...",
	    "Checks plans, allowances and fleet lists and settings. When a "
	    "plans and an\nallowances list are given, they are also checked "
	    "against each other.",
	    NULL);
	check_t check = {NULL, NULL};
	int status = EXIT_OK;
	GError *error = NULL;

	if (n_files < 0)
		return EXIT_USAGE;
	if (n_files == 0)
		return command_usage_error(argv[0], "no file is given");
	for (int i = 1; i <= n_files; i++) {
		if (!file_check(&check, argv[i], &error)) {
			status = command_problem(error);
			error = NULL;
		}
	}
	if (check.plans != NULL && check.allowances != NULL) {
		if (lists_check_pair(check.plans, check.allowances, &error))
			printf("plans and allowances match\n");
		else
			status = command_problem(error);
	}
	plans_unref(check.plans);
	allowances_unref(check.allowances);
	return status;
}
