#ifndef CYCLAMENSAILCTL_COMMAND_H
#define CYCLAMENSAILCTL_COMMAND_H

#include <glib.h>
#include <stdbool.h>

#include "core/snapshot.h"

/* Exit statuses of the program. */
enum { EXIT_OK = 0, EXIT_PROBLEM = 1, EXIT_USAGE = 2 };

/*
 * One command. run gets its own name as argv[0], then the arguments after it,
 * and returns the exit status.
 */
typedef struct {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
} command_t;

int check_run(int argc, char **argv);
int diff_run(int argc, char **argv);
int split_run(int argc, char **argv);
int hash_key_run(int argc, char **argv);
int counters_run(int argc, char **argv);
int explain_run(int argc, char **argv);
int drain_run(int argc, char **argv);
int bench_run(int argc, char **argv);

/*
 * Parses the options of a command; --help prints the usage and exits.
 * usage is what follows the command's name in the synopsis, entries may be
 * NULL. Returns the number of arguments left after argv[0], which are then
 * argv[1] and up, or -1 after a usage error was printed.
 */
int command_parse(int argc, char **argv, const char *usage,
    const char *description, const GOptionEntry *entries);

/* Prints "cyclamensailctl COMMAND: TEXT; see --help" and returns EXIT_USAGE. */
int command_usage_error(const char *command, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/* Prints the error, frees it and returns EXIT_PROBLEM. */
int command_problem(GError *error);

/* Read and parse a list file; NULL with an error. */
plans_t *plans_load(const char *path, GError **error);
allowances_t *allowances_load(const char *path, GError **error);

/* Name of the file of a part, or of a list in one piece. The caller frees it.
 */
char *parts_file_name(uint32_t part, uint32_t parts);

/* Checks that a file holds the part that its name tells. */
bool part_check_place(const plans_t *plans, const char *path, uint32_t part,
    uint32_t parts, GError **error);

/*
 * Sends one request to an instance and prints the answer. url is http:// or
 * https:// with a host and a port; the scheme may be left out. path and query
 * are added to it, query may be NULL and is escaped already. Returns the exit
 * status; an answer other than 2xx is a problem.
 */
int instance_call(const char *command, const char *method, const char *url,
    const char *path, const char *query);

#endif
