#include <glib.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "sockets.h"
#include "test.h"

/*
 * Drives the operator program as a separate process, the HTTP commands against
 * a stand-in that answers one request.
 */

#define DESK_HASH \
	"9f69359575697afee30f4d4a1c8f3fc28fdb2b6ef05f30ba85e719b15663b107"

static const char *program;

typedef struct {
	const char *guards; /* the failure that the case guards against */
	const char *args;   /* separated by spaces */
	const char *input;  /* standard input */
	int status;
	const char *output; /* part of standard output */
	const char *errors; /* part of standard error */
} run_case_t;

/* Makes text the standard input that a child process inherits. */
static void
input_set(const char *text)
{
	int fds[2];

	ck_assert_int_eq(pipe(fds), 0);
	ck_assert_int_eq(
	    write(fds[1], text, strlen(text)), (ssize_t)strlen(text));
	close(fds[1]);
	dup2(fds[0], STDIN_FILENO);
	close(fds[0]);
}

static void
case_run(const run_case_t *row)
{
	g_auto(GStrv) args = g_strsplit(row->args, " ", -1);
	g_autoptr(GPtrArray) argv = g_ptr_array_new();
	g_autofree char *output = NULL;
	g_autofree char *errors = NULL;
	int status = -1;

	g_ptr_array_add(argv, (char *)program);
	for (char **arg = args; *arg != NULL; arg++)
		g_ptr_array_add(argv, *arg);
	g_ptr_array_add(argv, NULL);
	input_set(row->input);
	ck_assert(g_spawn_sync(NULL, (char **)argv->pdata, NULL,
	    G_SPAWN_CHILD_INHERITS_STDIN, NULL, NULL, &output, &errors, &status,
	    NULL));
	ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == row->status,
	    "%s: wait status %d, %s", row->guards, status, errors);
	ck_assert_msg(strstr(output, row->output) != NULL, "%s: printed %s",
	    row->guards, output);
	ck_assert_msg(strstr(errors, row->errors) != NULL, "%s: reported %s",
	    row->guards, errors);
}

/* Guards against a split that loses teams, and parts or folders of them that
 * the other commands can't take. */
TEST(list_is_split_and_checked)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *folder = g_dir_make_tmp("split-XXXXXX", &error);
	g_autofree char *parts = g_strdup_printf("%s/plans-0-of-2.yaml "
						 "%s/plans-1-of-2.yaml",
	    folder, folder);
	g_autofree char *split =
	    g_strdup_printf("split " EXAMPLES "/plans.yaml -p 2 -o %s", folder);
	g_autofree char *check =
	    g_strdup_printf("check %s " EXAMPLES "/allowances.yaml", parts);
	g_autofree char *again =
	    g_strdup_printf("split %s -p 1 -o %s", parts, folder);
	g_autofree char *one = g_strdup_printf(
	    "diff " EXAMPLES "/plans.yaml %s/plans.yaml", folder);
	g_autofree char *count = g_strdup_printf("check %s/plans.yaml", folder);
	g_autofree char *other = g_strdup_printf("diff %s", parts);
	g_autofree char *clean = g_strdup_printf("rm -r %s", folder);
	const run_case_t rows[] = {
	    {"split that fails", split, "", 0, "plans-1-of-2.yaml\n", ""},
	    {"parts that are overwritten", split, "", 1, "", "exists; "},
	    {"parts that don't match", check, "", 0,
		"plans and allowances match\n", ""},
	    {"two parts taken for one", other, "", 1, "", "different parts"},
	    {"parts that can't be joined", again, "", 0, "/plans.yaml\n", ""},
	    {"teams that are lost on the way", count, "", 0,
		"version 5, 3 teams\n", ""},
	    {"entries that change on the way", one, "", 0,
		"plans: version 1 -> 5\n", ""},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		case_run(&rows[i]);
	ck_assert(g_spawn_command_line_sync(clean, NULL, NULL, NULL, NULL));
}

TEST(exit_status_and_streams)
{
	static const run_case_t rows[] = {
	    {"no command", "", "", 2, "", "usage: cyclamensailctl COMMAND"},
	    {"unknown command", "chek", "", 2, "", "unknown command chek"},
	    {"help that fails", "diff --help", "", 0, "OLD NEW", ""},
	    {"unknown option", "check --all", "", 2, "", "--all"},
	    {"check of nothing", "check", "", 2, "", "no file"},
	    {"pair that is not checked",
		"check " EXAMPLES "/plans.yaml " EXAMPLES "/allowances.yaml",
		"", 0, "plans and allowances match\n", ""},
	    {"fault without an exit status", "check " EXAMPLES, "", 1, "",
		"examples:0: file: is a directory; "},
	    {"two lists of a kind, of which one wins",
		"check " EXAMPLES "/plans.yaml " EXAMPLES "/plans.yaml", "", 1,
		"", "second plans list; "},
	    {"split that divides nothing",
		"split " EXAMPLES "/plans.yaml -o /tmp", "", 2, "",
		"--parts is missing"},
	    {"split to a version that no instance takes",
		"split " EXAMPLES "/plans.yaml -p 2 -o /tmp -v 1", "", 1, "",
		"split:0: version: is not above "},
	    {"folders that are not read", "diff " EXAMPLES " " EXAMPLES, "", 0,
		"no change\n", ""},
	    {"lists of two kinds",
		"diff " EXAMPLES "/plans.yaml " EXAMPLES "/allowances.yaml", "",
		1, "", "different kinds"},
	    {"hash of the line break", "hash-key", "demo-desk-key\n", 0,
		DESK_HASH "\n", ""},
	    {"hash of another text", "hash-key", "demo-desk-key", 0,
		DESK_HASH "\n", ""},
	    {"key in the list of processes", "hash-key k", "", 2, "",
		"standard input"},
	    {"hash of nothing", "hash-key", "\n", 1, "", "empty"},
	    {"key that no header can carry", "hash-key", "a\nb\n", 1, "",
		"line break"},
	    {"URL with a path", "counters 127.0.0.1:1/x", "", 2, "",
		"is not the URL"},
	    {"explain without a team", "explain 127.0.0.1:1 -s x", "", 2, "",
		"--team is missing"},
	    {"instance that is down", "drain 127.0.0.1:1", "", 1, "",
		"check that the instance runs"},
	    {"load without an end", "bench 127.0.0.1:1", "", 2, "", "no bound"},
	    {"load on other machines", "bench -n 1 http://192.0.2.1/", "", 2,
		"", "--allow-remote"},
	    {"name that only looks like loopback",
		"bench -n 1 http://127.0.0.1.example/", "", 2, "",
		"--allow-remote"},
	    {"more callers than memory", "bench -n 1 -c 10001 127.0.0.1:1", "",
		2, "", "--concurrency"},
	    {"two bodies", "bench -n 1 -b x --body-size 3 127.0.0.1:1", "", 2,
		"", "give one of"},
	    {"order without a body", "bench -n 1 -t 127.0.0.1:1", "", 2, "",
		"--tickets needs a body"},
	    {"load without a key", "bench -n 1 -k - 127.0.0.1:1", "\n", 1, "",
		"the key is empty"},
	    {"lost connections that count as success", "bench -n 2 127.0.0.1:1",
		"", 1, "status none: 2", ""},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		case_run(&rows[i]);
}

/* A server that takes one connection, keeps the request and answers. */
typedef struct {
	int fd;
	const char *answer;
	char request[2048];
} stand_in_t;

static void *
stand_in_run(void *context)
{
	stand_in_t *server = context;
	int fd = accept(server->fd, NULL, NULL);
	size_t len = 0;

	while (strstr(server->request, "\r\n\r\n") == NULL) {
		ssize_t n = read(fd, server->request + len,
		    sizeof(server->request) - 1 - len);

		if (n <= 0)
			break;
		len += (size_t)n;
	}
	if (write(fd, server->answer, strlen(server->answer)) < 0)
		perror("stand-in");
	close(fd);
	return NULL;
}

/* Runs one command, whose URL is added, against the stand-in. */
static void
call_run(const run_case_t *row, const char *answer, const char *request_line)
{
	int port;
	stand_in_t server = {loopback_listen(1, &port), answer, ""};
	g_autofree char *args = NULL;
	run_case_t full = *row;
	pthread_t thread;

	pthread_create(&thread, NULL, stand_in_run, &server);
	args = g_strdup_printf("%s http://127.0.0.1:%d", row->args, port);
	full.args = args;
	case_run(&full);
	pthread_join(thread, NULL);
	close(server.fd);
	ck_assert_msg(g_str_has_prefix(server.request, request_line),
	    "%s: sent %s", row->guards, server.request);
}

TEST(answers_of_an_instance)
{
	call_run(
	    &(const run_case_t){"wrong path", "counters", "", 0, "a 1\n", ""},
	    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na 1\n",
	    "GET /metrics HTTP/1.1\r\n");
	call_run(&(const run_case_t){"value that adds a parameter",
		     "explain -t a&b -s c", "", 0, "{}\n", ""},
	    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	    "GET /v1/explain?team=a%26b&service=c HTTP/1.1\r\n");
	call_run(&(const run_case_t){"refusal taken as success", "drain", "", 1,
		     "", "HTTP status 503\nbusy\n"},
	    "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy",
	    "POST /v1/drain HTTP/1.1\r\n");
	call_run(&(const run_case_t){"redirect to another server", "drain", "",
		     1, "", "HTTP status 302"},
	    "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n"
	    "Content-Length: 0\r\n\r\n",
	    "POST /v1/drain HTTP/1.1\r\n");
}

TEST(bench_answers)
{
	call_run(&(const run_case_t){"error codes that are not counted",
		     "bench -n 1 -b {}", "", 1, "error queue_full: 1\n", ""},
	    "HTTP/1.1 503 Busy\r\nContent-Length: 23\r\n\r\n"
	    "{\"code\":\"queue_full\"}\r\n",
	    "POST / HTTP/1.1\r\n");
	call_run(&(const run_case_t){"error event that counts as success",
		     "bench -n 1 -s -j", "", 1,
		     "\"errors\":{\"target_lost\":1}", ""},
	    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	    "data: 1\r\n\r\nevent: error\ndata: {\"code\":\"target_lost\"}\n\n",
	    "GET / HTTP/1.1\r\n");
}

/*
 * Guards against coordinated omission: a request that waits for one before it
 * counts from the time at which it was due. The socket never answers.
 */
static long
json_number(const char *text, const char *name)
{
	const char *found = strstr(text, name);

	ck_assert_ptr_nonnull(found);
	return strtol(found + strlen(name), NULL, 10);
}

TEST(bench_counts_from_the_scheduled_time)
{
	int port;
	int fd = loopback_listen(8, &port);
	g_autofree char *args = NULL;
	g_autofree char *output = NULL;
	const char *total;
	long late;

	args = g_strdup_printf("%s bench -j -n 2 -r 1000 --timeout 0.2 "
			       "http://127.0.0.1:%d",
	    program, port);
	ck_assert(g_spawn_command_line_sync(args, &output, NULL, NULL, NULL));
	close(fd);
	total = strstr(output, "\"total_us\"");
	ck_assert_ptr_nonnull(total);
	late = json_number(output, "\"late\":");
	/* On a busy machine the first request may itself start over 1 ms after
	 * its time, and then takes that much longer than its timeout. */
	ck_assert(late == 1 ||
		  (late == 2 && json_number(total, "\"min\":") > 201000));
	ck_assert_int_ge(json_number(total, "\"max\":"), 380000);
}

int
main(int argc, char **argv)
{
	if (argc != 2)
		return EXIT_FAILURE;
	program = argv[1];
	return test_run("ctl");
}
