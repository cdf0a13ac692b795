#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "experiments.h"
#include "table.h"

/* Runs all experiments and prints them as text, or as JSON with --json. */

static void
tables_fill(json_t *tables, uint64_t seed)
{
	experiment_policies(tables, seed);
	experiment_isolation(tables, seed);
	experiment_priorities(tables, seed);
	experiment_overload(tables, seed);
	experiment_recovery(tables, seed);
	experiment_spill(tables, seed);
	speed_route(tables, seed);
	speed_queue(tables, seed);
	speed_directory(tables, seed);
}

static int
json_write(json_t *root, const char *path)
{
	if (path == NULL)
		return 0;
	if (json_dump_file(root, path, JSON_INDENT(1)) != 0) {
		fprintf(stderr, "policy_bench: cannot write %s\n", path);
		return 1;
	}
	return 0;
}

int
main(int argc, char **argv)
{
	gint64 seed = 1;
	char *path = NULL;
	GOptionEntry entries[] = {{"seed", 's', 0, G_OPTION_ARG_INT64, &seed,
				      "Seed of the load", "N"},
	    {"json", 'j', 0, G_OPTION_ARG_FILENAME, &path,
		"Also write the tables as JSON", "FILE"},
	    {0}};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	json_t *root;
	json_t *tables = json_array();
	json_t *table;
	size_t i;
	int status;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "policy_bench: %s\n", error->message);
		return EXIT_FAILURE;
	}
	g_option_context_free(context);
	tables_fill(tables, (uint64_t)seed);
	json_array_foreach(tables, i, table) table_print(table, stdout);
	root =
	    json_pack("{s:I, s:o}", "seed", (json_int_t)seed, "tables", tables);
	status = json_write(root, path);
	json_decref(root);
	g_free(path);
	return status;
}
