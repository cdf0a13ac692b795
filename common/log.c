#include "common/log.h"

#include <ctype.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char *log_program = "cyclamensail";
static int log_max_priority = LOG_INFO;

void
log_open(const char *program, int max_priority)
{
	log_program = program;
	log_max_priority = max_priority;
}

static bool
value_is_plain(const char *value)
{
	if (*value == '\0')
		return false;
	for (; *value != '\0'; value++) {
		if (!isalnum((unsigned char)*value) &&
		    strchr("._:/@%+-", *value) == NULL)
			return false;
	}
	return true;
}

static void
value_append(GString *line, const char *value)
{
	if (value_is_plain(value)) {
		g_string_append(line, value);
		return;
	}
	g_string_append_c(line, '"');
	for (; *value != '\0'; value++) {
		unsigned char byte = (unsigned char)*value;

		if (byte == '"' || byte == '\\')
			g_string_append_printf(line, "\\%c", byte);
		else if (byte < 0x20 || byte >= 0x7f)
			g_string_append_printf(line, "\\x%02x", byte);
		else
			g_string_append_c(line, (char)byte);
	}
	g_string_append_c(line, '"');
}

static void
time_append(GString *line)
{
	struct timespec ts;
	struct tm tm;
	char text[32];

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	g_string_append_printf(
	    line, "%s.%03dZ", text, (int)(ts.tv_nsec / 1000000));
}

void
log_write(int priority, const char *event, const log_field_t *fields)
{
	GString *line;

	if (priority > log_max_priority)
		return;
	line = g_string_sized_new(256);
	g_string_append_printf(line, "<%d>", priority);
	time_append(line);
	g_string_append_printf(
	    line, " %s[%d]: event=%s", log_program, (int)getpid(), event);
	for (; fields->key != NULL; fields++) {
		g_string_append_printf(line, " %s=", fields->key);
		if (fields->text != NULL)
			value_append(line, fields->text);
		else
			g_string_append_printf(
			    line, "%" G_GINT64_FORMAT, fields->number);
	}
	g_string_append_c(line, '\n');
	/* One write(2) a line keeps lines of several threads apart. */
	if (write(STDERR_FILENO, line->str, line->len) < 0) {
		/* Nowhere left to report to. */
	}
	g_string_free(line, TRUE);
}
