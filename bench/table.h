#ifndef BENCH_TABLE_H
#define BENCH_TABLE_H

#include <jansson.h>
#include <stdio.h>

/*
 * A table is a JSON object {"name", "note", "rows"}, where rows are objects
 * with the same keys in the order of the columns.
 */

/* Returns a new table and appends it to the array of tables. */
json_t *table_add(json_t *tables, const char *name, const char *note);

/* Appends a row; takes over the reference. */
void table_row(json_t *table, json_t *row);

/* A real number with so many decimals that the text shows it in full. */
json_t *table_number(double value, int decimals);

/* Prints a table as a Markdown table under a heading. */
void table_print(const json_t *table, FILE *out);

#endif
