#ifndef CYCLAMENSAIL_LISTS_H
#define CYCLAMENSAIL_LISTS_H

#include "internal.h"

/*
 * Parses a list received from source (the platform or a peer), offers it to the
 * gate, and logs and counts the result. Returns false when the text is invalid.
 */
bool lists_receive(daemon_t *daemon, list_kind_t kind, const char *text,
    size_t len, const char *source);

/* Whether plans and allowances are consistent; for gate_options_t.pair_fits. */
bool lists_pair_fits(
    const plans_t *plans, const allowances_t *allowances, void *data);

#endif
