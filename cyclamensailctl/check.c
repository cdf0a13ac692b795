#include <stdio.h>

#include "common/error.h"
#include "config/file.h"
#include "config/lists.h"
#include "config/settings.h"
#include "cyclamensailctl/command.h"

/* Lists seen so far, for the check against each other. */
typedef struct {
	GPtrArray *plans; /* plans_t: a list, or parts of one */
	GPtrArray *files; /* their names, as given */
	allowances_t *allowances;
} check_t;

static bool
plans_check(check_t *check, const char *path, const char *text, size_t len,
    GError **error)
{
	plans_t *plans = plans_parse(path, text, len, error);

	if (plans == NULL)
		return false;
	g_ptr_array_add(check->plans, plans);
	g_ptr_array_add(check->files, (char *)path);
	if (plans_parts(plans) > 1)
		printf("%s: plans list part %u of %u version %" G_GUINT64_FORMAT
		       ", %zu teams\n",
		    path, plans->part, plans->parts, plans->head.version,
		    plans->n_teams);
	else
		printf("%s: plans list version %" G_GUINT64_FORMAT
		       ", %zu teams\n",
		    path, plans->head.version, plans->n_teams);
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

/* Checks the lists against each other. */
static bool
lists_check(const check_t *check, GError **error)
{
	plans_t *const *plans = (plans_t *const *)check->plans->pdata;
	size_t n = check->plans->len;

	if (!lists_check_parts(
		plans, (const char *const *)check->files->pdata, n, error))
		return false;
	if (n > 0 && n < plans_parts(plans[0]))
		printf("%zu of %u parts are given; the keys of the others are "
		       "not checked\n",
		    n, plans_parts(plans[0]));
	if (n == 0 || check->allowances == NULL)
		return true;
	for (size_t i = 0; i < n; i++) {
		if (!lists_check_pair(plans[i], check->allowances, error))
			return false;
	}
	printf("plans and allowances match\n");
	return true;
}

static void
plans_free(gpointer plans)
{
	plans_unref(plans);
}

int
check_run(int argc, char **argv)
{
	int n_files = command_parse(argc, argv, "FILE...",
	    "Checks plans, allowances and fleet lists and settings. When a "
	    "plans and an\nallowances list are given, they are also checked "
	    "against each other.\nA plans list may be given as its parts.",
	    NULL);
	g_autoptr(GPtrArray) plans = g_ptr_array_new_with_free_func(plans_free);
	g_autoptr(GPtrArray) files = g_ptr_array_new();
	check_t check = {plans, files, NULL};
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
	if (!lists_check(&check, &error))
		status = command_problem(error);
	allowances_unref(check.allowances);
	return status;
}
