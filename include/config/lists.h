#ifndef CONFIG_LISTS_H
#define CONFIG_LISTS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "core/snapshot.h"

/*
 * Parse one published list and check it as a whole; see cyclamensail-lists(5).
 * The result has one reference, which the caller gives back with plans_unref
 * and its kin. On a fault they return NULL with a CS_ERROR for the first one
 * found, whose message is "FILE:LINE: KEY: what is wrong; what to write
 * instead". file is only a name for messages; line 0 stands for the text as a
 * whole.
 */
plans_t *plans_parse(
    const char *file, const char *text, size_t len, GError **error);
allowances_t *allowances_parse(
    const char *file, const char *text, size_t len, GError **error);
fleet_t *fleet_parse(
    const char *file, const char *text, size_t len, GError **error);

/* Name of a list or a part at the platform. The caller frees it. */
char *plans_name(const plans_t *plans);

/*
 * Checks that the lists are different parts of one division, though not that
 * all are there, and that no key is in two of them. files are their names for
 * messages.
 */
bool lists_check_parts(
    plans_t *const *parts, const char *const *files, size_t n, GError **error);

/*
 * Checks that the plan of each team exists, and that each home region has a
 * zone and is allowed by at least one use of the team's plan. The error is
 * CS_ERROR_CONFLICT and names the line in the plans list, with plans_name() as
 * file.
 */
bool lists_check_pair(
    const plans_t *plans, const allowances_t *allowances, GError **error);

typedef enum {
	FILE_PLANS,
	FILE_ALLOWANCES,
	FILE_FLEET,
	FILE_SETTINGS,
} file_kind_t;

/*
 * Finds out by its top-level keys what a text is. Returns false with an error
 * when it is not YAML or has the keys of none of them.
 */
bool lists_detect(const char *file, const char *text, size_t len,
    file_kind_t *kind, GError **error);

#endif
