#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "test.h"

/* Logs an event with this value and returns the line. */
static void
line_capture(const char *value, char *line, size_t size)
{
	int fds[2];
	int saved_stdout = dup(STDOUT_FILENO);
	ssize_t len;

	ck_assert_int_eq(pipe(fds), 0);
	fflush(stdout);
	dup2(fds[1], STDOUT_FILENO);
	log_event(LOG_INFO, "probe", LOG_S("value", value), LOG_I("n", -3));
	dup2(saved_stdout, STDOUT_FILENO);
	close(saved_stdout);
	close(fds[1]);
	len = read(fds[0], line, size - 1);
	close(fds[0]);
	ck_assert_int_gt(len, 0);
	line[len] = '\0';
}

/* Guards against a value that injects a second line or field. */
TEST(special_characters_are_escaped)
{
	char line[512];

	line_capture("x\nevent=forged a=\"b\\", line, sizeof(line));
	ck_assert_ptr_nonnull(
	    strstr(line, "value=\"x\\x0aevent=forged a=\\\"b\\\\\" n=-3\n"));
	ck_assert_ptr_eq(strchr(line, '\n'), line + strlen(line) - 1);
}

TEST(empty_value_is_quoted)
{
	char line[512];

	line_capture("", line, sizeof(line));
	ck_assert_ptr_nonnull(strstr(line, "value=\"\" n=-3\n"));
}

/* Guards against blocking when the reader of the log stops reading, and against
 * dropping lines without reporting it. Runs last, as log_enable_buffering()
 * can't be undone. */
TEST(full_output_drops_and_reports_lines)
{
	char text[65536];
	int fds[2];
	int saved_stdout = dup(STDOUT_FILENO);
	ssize_t len = 0;
	ssize_t n;

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_gt(fcntl(fds[1], F_SETPIPE_SZ, 4096), 0);
	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	fflush(stdout);
	dup2(fds[1], STDOUT_FILENO);
	log_enable_buffering();
	for (int i = 0; i < 300; i++) {
		log_event(LOG_INFO, "probe", LOG_I("n", i));
		log_flush();
	}
	while (
	    (n = read(fds[0], text + len, sizeof(text) - 1 - (size_t)len)) > 0)
		len += n;
	log_event(LOG_INFO, "after", LOG_I("n", 1));
	log_flush();
	while (
	    (n = read(fds[0], text + len, sizeof(text) - 1 - (size_t)len)) > 0)
		len += n;
	text[len] = '\0';
	dup2(saved_stdout, STDOUT_FILENO);
	ck_assert_ptr_nonnull(strstr(text, "event=log_dropped lines="));
	ck_assert_ptr_nonnull(strstr(text, "event=after n=1\n"));
	for (char *line = strtok(text, "\n"); line; line = strtok(NULL, "\n"))
		ck_assert_msg(
		    strncmp(line, "time=", 5) == 0, "cut line: %s", line);
}

TEST_MAIN("log")
