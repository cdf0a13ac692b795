#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

#include <glib.h>
#include <stdbool.h>

#include "core/snapshot.h"

/*
 * Append to lines what the change from one list to the next does to whom, one
 * change a line; nothing when both have the same text. A changed list whose
 * version does not rise is a CS_ERROR_CONFLICT, with the list's kind as file in
 * the message.
 */
/*
 * Checks that changed parts have higher versions, or after a change of the
 * division all parts versions above the sum of the old ones. *changed tells
 * whether anything differs.
 */
bool plans_check_rise(
    const plans_t *before, const plans_t *after, bool *changed, GError **error);

bool diff_plans(const plans_t *before, const plans_t *after, GString *lines,
    GError **error);

/* plans are the teams to count for each plan; NULL leaves the counts out. */
bool diff_allowances(const allowances_t *before, const allowances_t *after,
    const plans_t *plans, GString *lines, GError **error);

#endif
