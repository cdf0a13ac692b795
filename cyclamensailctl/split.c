#include <errno.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/error.h"
#include "config/file.h"
#include "config/lists.h"
#include "cyclamensailctl/command.h"

typedef struct {
	int parts;
	gint64 version;
	char *output;
} split_options_t;

static void
key_write(GString *text, const team_key_t *key)
{
	g_string_append_printf(
	    text, "      - id: \"%s\"\n        sha256: \"", key->id);
	for (size_t i = 0; i < KEY_HASH_BYTES; i++)
		g_string_append_printf(text, "%02x", key->hash[i]);
	g_string_append(text, "\"\n");
}

/* Names are in quotes, because YAML reads some words as other than text. */
static void
team_write(GString *text, const team_t *team)
{
	g_string_append_printf(text, "  - name: \"%s\"\n    plan: \"%s\"\n",
	    team->name, team->plan);
	if (team->home != NULL)
		g_string_append_printf(text, "    home: \"%s\"\n", team->home);
	if (team->n_keys == 0)
		g_string_append(text, "    keys: []\n");
	else
		g_string_append(text, "    keys:\n");
	for (size_t i = 0; i < team->n_keys; i++)
		key_write(text, &team->keys[i]);
}

static GString *
part_write(
    const plans_t *plans, uint32_t part, uint32_t parts, uint64_t version)
{
	GString *text = g_string_new(NULL);
	size_t n = 0;

	g_string_append_printf(
	    text, "version: %" G_GUINT64_FORMAT "\n", version);
	if (parts > 1)
		g_string_append_printf(
		    text, "part: %u\nparts: %u\n", part, parts);
	g_string_append(text, "teams:\n");
	for (size_t i = 0; i < plans->n_teams; i++) {
		const team_t *team = &plans->teams[i];

		if (plans_part_of(team->name, parts) != part)
			continue;
		team_write(text, team);
		n++;
	}
	if (n == 0)
		g_string_insert(text, (gssize)text->len - 1, " []");
	return text;
}

static bool
file_write(const char *path, const GString *text, GError **error)
{
	if (text->len > FILE_LIMIT) {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "%s:0: file: has %zu bytes, the platform holds %d; raise "
		    "--parts",
		    path, text->len, FILE_LIMIT);
		return false;
	}
	if (g_file_test(path, G_FILE_TEST_EXISTS)) {
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "%s:0: file: exists; remove it or give another folder",
		    path);
		return false;
	}
	return g_file_set_contents(path, text->str, (gssize)text->len, error);
}

static bool
parts_write(const plans_t *plans, const split_options_t *options,
    uint64_t version, GError **error)
{
	uint32_t n = (uint32_t)options->parts;

	if (g_mkdir_with_parents(options->output, 0777) != 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "%s:0: file: can't be made: %s; give another folder",
		    options->output, g_strerror(errno));
		return false;
	}
	for (uint32_t i = 0; i < n; i++) {
		g_autofree char *name = parts_file_name(i, n);
		g_autofree char *path =
		    g_build_filename(options->output, name, NULL);
		GString *text = part_write(plans, i, n, version);
		bool ok = file_write(path, text, error);

		g_string_free(text, TRUE);
		if (!ok)
			return false;
		puts(path);
	}
	return true;
}

/* Loads a list from one file or from the files of all its parts. */
static plans_t *
whole_load(char *const *files, int n, GError **error)
{
	plans_t **given = g_new0(plans_t *, n);
	plans_t **parts = g_new0(plans_t *, MAX(n, PLANS_PART_LIMIT));
	plans_t *whole = NULL;
	bool ok = true;

	for (int i = 0; i < n && ok; i++) {
		given[i] = plans_load(files[i], error);
		ok = given[i] != NULL;
	}
	ok = ok && lists_check_parts(
		       given, (const char *const *)files, (size_t)n, error);
	if (ok && plans_parts(given[0]) != (uint32_t)n) {
		g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
		    "%s:0: file: is one of %u parts, %d are given; give all of "
		    "them",
		    files[0], plans_parts(given[0]), n);
		ok = false;
	}
	for (int i = 0; i < n && ok; i++)
		parts[given[i]->part] = given[i];
	if (ok)
		whole = plans_combine(parts, (uint32_t)n);
	for (int i = 0; i < n; i++)
		plans_unref(given[i]);
	g_free(parts);
	g_free(given);
	return whole;
}

static bool
split(const plans_t *plans, const split_options_t *options, GError **error)
{
	uint64_t version = plans->head.version + 1;

	if (options->version != 0)
		version = (uint64_t)options->version;
	if (options->version < 0 || version <= plans->head.version) {
		g_set_error(error, CS_ERROR, CS_ERROR_INVALID,
		    "split:0: version: is not above %" G_GUINT64_FORMAT
		    ", the version of the list that is divided; write a higher "
		    "--version",
		    plans->head.version);
		return false;
	}
	return parts_write(plans, options, version, error);
}

int
split_run(int argc, char **argv)
{
	split_options_t options = {0, 0, NULL};
	const GOptionEntry entries[] = {
	    {"parts", 'p', 0, G_OPTION_ARG_INT, &options.parts,
		"Number of parts, 1 to 256", "N"},
	    {"output", 'o', 0, G_OPTION_ARG_FILENAME, &options.output,
		"Folder to write to", "DIRECTORY"},
	    {"version", 'v', 0, G_OPTION_ARG_INT64, &options.version,
		"Version of all parts; default: one above that of the list",
		"N"},
	    {NULL},
	};
	int n_files = command_parse(argc, argv, "PLANS...",
	    "Divides a plans list into parts, or anew when all its parts are "
	    "given. Writes\nplans-PART-of-PARTS.yaml, or plans.yaml for one "
	    "part. Comments are not kept.",
	    entries);
	g_autofree char *output = options.output;
	GError *error = NULL;
	plans_t *plans;
	bool ok;

	if (n_files < 0)
		return EXIT_USAGE;
	if (n_files == 0)
		return command_usage_error(argv[0], "no plans list is given");
	if (options.parts < 1 || options.parts > PLANS_PART_LIMIT)
		return command_usage_error(
		    argv[0], "--parts is missing or not 1 to 256");
	if (output == NULL)
		return command_usage_error(argv[0], "--output is missing");
	plans = whole_load(argv + 1, n_files, &error);
	ok = plans != NULL && split(plans, &options, &error);
	plans_unref(plans);
	return ok ? EXIT_OK : command_problem(error);
}
