#include "table.h"

#include <math.h>
#include <string.h>

json_t *
table_add(json_t *tables, const char *name, const char *note)
{
	json_t *table =
	    json_pack("{s:s, s:s, s:[]}", "name", name, "note", note, "rows");

	json_array_append_new(tables, table);
	return table;
}

void
table_row(json_t *table, json_t *row)
{
	json_array_append_new(json_object_get(table, "rows"), row);
}

json_t *
table_number(double value, int decimals)
{
	double scale = pow(10, decimals);

	return json_real(round(value * scale) / scale);
}

static void
cell_print(const json_t *value, FILE *out)
{
	if (json_is_string(value))
		fprintf(out, " %s |", json_string_value(value));
	else if (json_is_integer(value))
		fprintf(out, " %lld |", (long long)json_integer_value(value));
	else
		fprintf(out, " %.10g |", json_real_value(value));
}

void
table_print(const json_t *table, FILE *out)
{
	json_t *rows = json_object_get(table, "rows");
	const char *key;
	json_t *value;
	json_t *row;
	size_t i;

	fprintf(out, "## %s\n\n%s\n\n",
	    json_string_value(json_object_get(table, "name")),
	    json_string_value(json_object_get(table, "note")));
	json_array_foreach(rows, i, row)
	{
		if (i == 0) {
			fputc('|', out);
			json_object_foreach(row, key, value)
			    fprintf(out, " %s |", key);
			fputs("\n|", out);
			json_object_foreach(row, key, value) fputs("---|", out);
			fputc('\n', out);
		}
		fputc('|', out);
		json_object_foreach(row, key, value) cell_print(value, out);
		fputc('\n', out);
	}
	fputc('\n', out);
}
