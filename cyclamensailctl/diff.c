#include "config/diff.h"

#include <stdio.h>

#include "common/error.h"
#include "config/file.h"
#include "config/lists.h"
#include "cyclamensailctl/command.h"

/* One side of the comparison; a list that is not given is NULL. */
typedef struct {
	plans_t *plans;
	allowances_t *allowances;
} side_t;

static void
side_clear(side_t *side)
{
	plans_unref(side->plans);
	allowances_unref(side->allowances);
}

/* Loads the plans list that the allowances list tells of, all of its parts. */
static plans_t *
folder_plans(const char *path, const allowances_t *allowances, GError **error)
{
	uint32_t n = allowances->plans_parts;
	plans_t **parts = g_new0(plans_t *, n);
	g_autoptr(GPtrArray) files = g_ptr_array_new_with_free_func(g_free);
	plans_t *whole = NULL;
	bool ok = true;

	for (uint32_t i = 0; i < n && ok; i++) {
		g_autofree char *name = parts_file_name(i, n);
		char *file = g_build_filename(path, name, NULL);

		g_ptr_array_add(files, file);
		parts[i] = plans_load(file, error);
		ok = parts[i] != NULL &&
		     part_check_place(parts[i], file, i, n, error) &&
		     lists_check_pair(parts[i], allowances, error);
	}
	if (ok && lists_check_parts(
		      parts, (const char *const *)files->pdata, n, error))
		whole = plans_combine(parts, n);
	for (uint32_t i = 0; i < n; i++)
		plans_unref(parts[i]);
	g_free(parts);
	return whole;
}

static bool
side_load_folder(side_t *side, const char *path, GError **error)
{
	g_autofree char *allowances =
	    g_build_filename(path, "allowances.yaml", NULL);

	side->allowances = allowances_load(allowances, error);
	if (side->allowances == NULL)
		return false;
	side->plans = folder_plans(path, side->allowances, error);
	return side->plans != NULL;
}

static bool
side_load(side_t *side, const char *path, GError **error)
{
	g_autofree char *text = NULL;
	file_kind_t kind;
	size_t len;

	if (g_file_test(path, G_FILE_TEST_IS_DIR))
		return side_load_folder(side, path, error);
	if (!file_read(path, &text, &len, error) ||
	    !lists_detect(path, text, len, &kind, error))
		return false;
	if (kind == FILE_PLANS)
		side->plans = plans_parse(path, text, len, error);
	else if (kind == FILE_ALLOWANCES)
		side->allowances = allowances_parse(path, text, len, error);
	else
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "%s:0: file: is no plans or allowances list; give one of "
		    "these or a folder with both",
		    path);
	return side->plans != NULL || side->allowances != NULL;
}

/* Of a list in parts, files hold one part; folders hold all of them. */
static bool
sides_are_comparable(
    const plans_t *before, const plans_t *after, GError **error)
{
	bool files = (before->part_lists == NULL && plans_parts(before) > 1) ||
		     (after->part_lists == NULL && plans_parts(after) > 1);

	if (!files || (before->part == after->part &&
			  plans_parts(before) == plans_parts(after)))
		return true;
	g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
	    "diff:0: file: OLD and NEW are different parts; give two of one "
	    "part or two folders with all parts");
	return false;
}

static bool
sides_diff(
    const side_t *before, const side_t *after, GString *lines, GError **error)
{
	if ((before->plans == NULL) != (after->plans == NULL) ||
	    (before->allowances == NULL) != (after->allowances == NULL)) {
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "diff:0: file: OLD and NEW are different kinds of lists; "
		    "give two of one kind or two folders");
		return false;
	}
	if (after->plans != NULL &&
	    !sides_are_comparable(before->plans, after->plans, error))
		return false;
	if (after->plans != NULL &&
	    !diff_plans(before->plans, after->plans, lines, error))
		return false;
	return after->allowances == NULL ||
	       diff_allowances(before->allowances, after->allowances,
		   after->plans, lines, error);
}

int
diff_run(int argc, char **argv)
{
	int n_paths = command_parse(argc, argv, "OLD NEW",
	    "Shows what a change of the lists does to whom. OLD and NEW are "
	    "two plans\nlists, two allowances lists, or two folders with "
	    "plans.yaml, or all\nparts of it, and allowances.yaml. Only "
	    "folders "
	    "give the number of teams that a\nplan's change affects.",
	    NULL);
	g_autoptr(GString) lines = g_string_new(NULL);
	side_t before = {NULL, NULL};
	side_t after = {NULL, NULL};
	int status = EXIT_OK;
	GError *error = NULL;

	if (n_paths < 0)
		return EXIT_USAGE;
	if (n_paths != 2)
		return command_usage_error(
		    argv[0], "%d paths are given instead of 2", n_paths);
	if (side_load(&before, argv[1], &error) &&
	    side_load(&after, argv[2], &error) &&
	    sides_diff(&before, &after, lines, &error))
		fputs(lines->len > 0 ? lines->str : "no change\n", stdout);
	else
		status = command_problem(error);
	side_clear(&before);
	side_clear(&after);
	return status;
}
