#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "common/log.h"
#include "test.h"

/* Writes one event with a hostile value and returns the line. */
static void
line_capture(const char *value, char *line, size_t size)
{
	int fds[2];
	int saved = dup(STDERR_FILENO);
	ssize_t len;

	ck_assert_int_eq(pipe(fds), 0);
	dup2(fds[1], STDERR_FILENO);
	log_event(LOG_INFO, "probe", LOG_S("value", value), LOG_I("n", -3));
	dup2(saved, STDERR_FILENO);
	close(saved);
	close(fds[1]);
	len = read(fds[0], line, size - 1);
	close(fds[0]);
	ck_assert_int_gt(len, 0);
	line[len] = '\0';
}

/* Guards against a caller's value that forges a second line or field. */
TEST(hostile_value_stays_one_field)
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

TEST_MAIN("log")
