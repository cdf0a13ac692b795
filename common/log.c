#include "common/log.h"

#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const char *log_program = "cyclamensail";
static int log_max_priority = LOG_INFO;
static int log_pid;

/* Size of the buffer above which further lines are dropped. */
#define BUFFER_BYTES 65536

/* Lines buffered until log_flush(); NULL when lines are written directly. */
static GString *buffer;
static int64_t dropped_lines;

void
log_open(const char *program, int max_priority)
{
	log_program = program;
	log_max_priority = max_priority;
	log_pid = (int)getpid();
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
	static _Thread_local time_t formatted;
	static _Thread_local char text[32];
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	if (formatted != ts.tv_sec) {
		struct tm tm;

		formatted = ts.tv_sec;
		gmtime_r(&ts.tv_sec, &tm);
		strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	}
	g_string_append_printf(
	    line, "%s.%03dZ", text, (int)(ts.tv_nsec / 1000000));
}

static const char *
priority_name(int priority)
{
	static const char *const names[] = {"emerg", "alert", "crit", "err",
	    "warning", "notice", "info", "debug"};

	return names[priority & 7];
}

static void
line_append(
    GString *line, int priority, const char *event, const log_field_t *fields)
{
	g_string_append(line, "time=");
	time_append(line);
	g_string_append_printf(line, " level=%s program=%s pid=%d event=%s",
	    priority_name(priority), log_program, log_pid, event);
	for (; fields->key != NULL; fields++) {
		g_string_append_printf(line, " %s=", fields->key);
		if (fields->text != NULL)
			value_append(line, fields->text);
		else
			g_string_append_printf(
			    line, "%" G_GINT64_FORMAT, fields->number);
	}
	g_string_append_c(line, '\n');
}

/* Returns whether the rate limit allows another line. */
static bool
rate_limit_allows(int priority)
{
	static time_t current_second;
	static unsigned lines;
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	if (now.tv_sec != current_second) {
		current_second = now.tv_sec;
		lines = 0;
	}
	return priority <= LOG_WARNING || lines++ < LOG_LINES_PER_S;
}

void
log_enable_buffering(void)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	buffer = g_string_sized_new(BUFFER_BYTES);
}

void
log_flush(void)
{
	const char *at;
	size_t left;

	if (buffer == NULL || buffer->len == 0)
		return;
	at = buffer->str;
	left = buffer->len;
	while (left > 0) {
		ssize_t n = write(STDOUT_FILENO, at, left);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		at += n;
		left -= (size_t)n;
	}
	/* Drop complete lines that didn't fit, so that the buffer can't grow
	 * without bound. Keep the rest of a partially written line. */
	if (left > 0 && (at == buffer->str || at[-1] == '\n')) {
		for (size_t i = 0; i < left; i++)
			dropped_lines += at[i] == '\n';
		left = 0;
	}
	g_string_erase(buffer, 0, (gssize)(buffer->len - left));
}

static void
dropped_report(void)
{
	log_field_t fields[] = {LOG_I("lines", dropped_lines), {NULL, NULL, 0}};

	if (dropped_lines == 0)
		return;
	dropped_lines = 0;
	line_append(buffer, LOG_WARNING, "log_dropped", fields);
}

void
log_write(int priority, const char *event, const log_field_t *fields)
{
	GString *line;

	if (priority > log_max_priority)
		return;
	if (buffer != NULL) {
		if (buffer->len > BUFFER_BYTES ||
		    !rate_limit_allows(priority)) {
			dropped_lines++;
			return;
		}
		dropped_report();
		line_append(buffer, priority, event, fields);
		return;
	}
	line = g_string_sized_new(256);
	line_append(line, priority, event, fields);
	/* One write(2) per line, so that threads don't interleave lines. */
	if (write(STDOUT_FILENO, line->str, line->len) < 0) {
		/* There is nowhere to report a failure of the log. */
	}
	g_string_free(line, TRUE);
}
