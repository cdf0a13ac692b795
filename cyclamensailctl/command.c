#include "cyclamensailctl/command.h"

#include <stdio.h>

#include "common/error.h"
#include "config/file.h"
#include "config/lists.h"

int
command_parse(int argc, char **argv, const char *usage, const char *description,
    const GOptionEntry *entries)
{
	g_autoptr(GOptionContext) context = g_option_context_new(usage);
	g_autofree char *program =
	    g_strconcat("cyclamensailctl ", argv[0], NULL);
	g_autoptr(GError) error = NULL;

	g_set_prgname(program);
	g_option_context_set_summary(context, description);
	if (entries != NULL)
		g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		command_usage_error(argv[0], "%s", error->message);
		return -1;
	}
	/* GLib keeps a "--" that ends the options. */
	if (argc > 1 && g_strcmp0(argv[1], "--") == 0) {
		for (int i = 1; i < argc; i++)
			argv[i] = argv[i + 1];
		argc--;
	}
	return argc - 1;
}

int
command_usage_error(const char *command, const char *format, ...)
{
	va_list args;

	fprintf(stderr, "cyclamensailctl %s: ", command);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputs("; see --help\n", stderr);
	return EXIT_USAGE;
}

int
command_problem(GError *error)
{
	fprintf(stderr, "%s\n", error->message);
	g_error_free(error);
	return EXIT_PROBLEM;
}

plans_t *
plans_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	size_t len;

	if (!file_read(path, &text, &len, error))
		return NULL;
	return plans_parse(path, text, len, error);
}

char *
parts_file_name(uint32_t part, uint32_t parts)
{
	if (parts <= 1)
		return g_strdup("plans.yaml");
	return g_strdup_printf("plans-%u-of-%u.yaml", part, parts);
}

bool
part_check_place(const plans_t *plans, const char *path, uint32_t part,
    uint32_t parts, GError **error)
{
	if (plans->part == part && plans_parts(plans) == parts)
		return true;
	g_set_error(error, CS_ERROR, CS_ERROR_CONFLICT,
	    "%s:0: file: holds part %u of %u; write part %u of %u into it",
	    path, plans->part, plans_parts(plans), part, parts);
	return false;
}

allowances_t *
allowances_load(const char *path, GError **error)
{
	g_autofree char *text = NULL;
	size_t len;

	if (!file_read(path, &text, &len, error))
		return NULL;
	return allowances_parse(path, text, len, error);
}
