#ifndef TESTS_CLUSTER_INTERNAL_H
#define TESTS_CLUSTER_INTERNAL_H

#include "cluster.h"

/* What the parts of the cluster (tests/cluster*.c) share. */

void settings_write(cluster_t *cluster, node_t node);

/* Parses the body; NULL when it is no JSON. */
json_t *answer_json(const answer_t *answer);

/* Copies a member of a JSON error, or "". Unlike error_code(), it may be called
 * from several threads. */
void error_member(
    const answer_t *answer, const char *name, char *text, size_t size);

#endif
