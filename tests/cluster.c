#include "cluster_internal.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define PORT_FIRST 10000
#define PORT_LAST 32000

extern char **environ;

const char *const node_names[NODE_COUNT] = {
    "s1", "s2", "z1", "z2", "w1", "w2", "w3", "r1", "r2", "platform"};

/*
 * Reserves free ports by binding to them; all are held until chosen. They lie
 * below those that the kernel gives to outgoing connections, which could take a
 * port again before its process listens.
 */
static void
ports_choose(int *ports, size_t count)
{
	int *fds = g_new(int, count);

	for (size_t i = 0; i < count; i++) {
		struct sockaddr_in address = {.sin_family = AF_INET,
		    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
		socklen_t size = sizeof(address);

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		do {
			address.sin_port = htons((uint16_t)g_random_int_range(
			    PORT_FIRST, PORT_LAST));
		} while (bind(fds[i], (struct sockaddr *)&address, size) != 0);
		ports[i] = ntohs(address.sin_port);
	}
	for (size_t i = 0; i < count; i++)
		close(fds[i]);
	g_free(fds);
}

static pid_t
process_start(const char *log, char *const *argv)
{
	posix_spawn_file_actions_t actions;
	pid_t pid = -1;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDERR_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(
	    &actions, STDERR_FILENO, STDOUT_FILENO);
	ck_assert_int_eq(
	    posix_spawn(&pid, argv[0], &actions, NULL, argv, environ), 0);
	posix_spawn_file_actions_destroy(&actions);
	return pid;
}

void
node_start(cluster_t *cluster, node_t node)
{
	const char *build = g_getenv("CYCLAMENSAIL_BUILD");
	g_autofree char *log =
	    g_strdup_printf("%s/%s.log", cluster->folder, node_names[node]);
	g_autofree char *port = g_strdup_printf("%d", cluster->ports[node]);
	g_autofree char *slots = g_strdup_printf("%d", cluster->engine_slots);
	g_autofree char *token_ms = g_strdup_printf("%d", cluster->token_ms);
	g_autofree char *program = NULL;
	g_autofree char *settings = NULL;

	ck_assert_ptr_nonnull(build);
	if (node < NODE_INSTANCES) {
		program = g_build_filename(
		    build, "cyclamensail", "cyclamensail", NULL);
		settings = g_strdup_printf(
		    "%s/%s-settings.yaml", cluster->folder, node_names[node]);
		settings_write(cluster, node);
		cluster->pids[node] = process_start(
		    log, (char *[]){program, "--settings", settings, NULL});
	} else if (node == NODE_PLATFORM) {
		program =
		    g_build_filename(build, "fakes", "fake_platform", NULL);
		cluster->pids[node] = process_start(
		    log, (char *[]){program, port, cluster->folder, NULL});
	} else {
		program = g_build_filename(build, "fakes", "fake_target", NULL);
		cluster->pids[node] = process_start(
		    log, (char *[]){program, port, (char *)node_names[node],
			     slots, "5", token_ms, NULL});
	}
}

void
node_signal(cluster_t *cluster, node_t node, int signal_number)
{
	ck_assert_int_gt(cluster->pids[node], 0);
	kill(cluster->pids[node], signal_number);
}

int
node_wait(cluster_t *cluster, node_t node)
{
	int status = 0;

	WAIT_UNTIL(waitpid(cluster->pids[node], &status, WNOHANG) != 0);
	cluster->pids[node] = 0;
	return status;
}

static bool
node_answers(cluster_t *cluster, node_t node, const char *path)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "%s", path), NULL, NULL, NULL);
	bool ok = answer->status == 200;

	answer_free(answer);
	return ok;
}

void
node_wait_ready(cluster_t *cluster, node_t node)
{
	const char *path = "/record";

	if (node < NODE_INSTANCES)
		path = "/readyz";
	WAIT_UNTIL(node_answers(cluster, node, path));
}

cluster_t *
cluster_prepare(void)
{
	cluster_t *cluster = g_new0(cluster_t, 1);
	int ports[NODE_COUNT + 2 * NODE_INSTANCES];

	curl_global_init(CURL_GLOBAL_ALL);
	cluster->folder = g_dir_make_tmp("cyclamensail-XXXXXX", NULL);
	cluster->extra_team = g_string_new(NULL);
	cluster->engine_slots = 64;
	cluster->token_ms = 2;
	cluster->desk_rate = 100000;
	cluster->desk_burst = 400000;
	cluster->small_rate = 20;
	cluster->small_burst = 200;
	ports_choose(ports, G_N_ELEMENTS(ports));
	memcpy(cluster->ports, ports, sizeof(cluster->ports));
	memcpy(cluster->peer_ports, ports + NODE_COUNT,
	    sizeof(cluster->peer_ports));
	memcpy(cluster->admin_ports, ports + NODE_COUNT + NODE_INSTANCES,
	    sizeof(cluster->admin_ports));
	cluster_publish_allowances(cluster);
	cluster_publish_plans(cluster);
	cluster_publish_fleet(cluster);
	return cluster;
}

cluster_t *
cluster_create(void)
{
	cluster_t *cluster = cluster_prepare();

	cluster_start(cluster);
	return cluster;
}

void
cluster_start(cluster_t *cluster)
{
	for (int node = NODE_COUNT - 1; node >= 0; node--) {
		node_start(cluster, (node_t)node);
		if (node >= NODE_INSTANCES)
			node_wait_ready(cluster, (node_t)node);
	}
	for (int node = 0; node < NODE_INSTANCES; node++)
		node_wait_ready(cluster, (node_t)node);
}

static void
folder_remove(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *file = g_build_filename(path, name, NULL);

		unlink(file);
	}
	if (dir != NULL)
		g_dir_close(dir);
	rmdir(path);
}

bool
cluster_logs_contain(cluster_t *cluster, const char *text)
{
	bool found = false;

	for (int node = 0; node < NODE_INSTANCES; node++) {
		g_autofree char *path = g_strdup_printf(
		    "%s/%s.log", cluster->folder, node_names[node]);
		g_autofree char *log = NULL;

		if (g_file_get_contents(path, &log, NULL, NULL))
			found = found || strstr(log, text) != NULL;
	}
	return found;
}

static void
relays_destroy(tcp_relay_t **relays)
{
	for (int i = 0; i < NODE_INSTANCES; i++) {
		if (relays[i] != NULL)
			tcp_relay_destroy(relays[i]);
	}
}

void
cluster_destroy(cluster_t *cluster)
{
	static const char *const keys[] = {
	    DESK_KEY, PARISH_KEY, GUEST_KEY, SPARE_KEY};
	bool leaked = false;

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		leaked = leaked || cluster_logs_contain(cluster, keys[i]);
	for (int node = 0; node < NODE_COUNT; node++) {
		if (cluster->pids[node] <= 0)
			continue;
		kill(cluster->pids[node], SIGCONT);
		kill(cluster->pids[node], SIGKILL);
		waitpid(cluster->pids[node], NULL, 0);
	}
	if (g_getenv("KEEP_LOGS") == NULL)
		folder_remove(cluster->folder);
	else
		fprintf(stderr, "logs: %s\n", cluster->folder);
	relays_destroy(cluster->http_relays);
	relays_destroy(cluster->peer_relays);
	relays_destroy(cluster->platform_relays);
	g_string_free(cluster->extra_team, TRUE);
	g_free(cluster->folder);
	g_free(cluster);
	ck_assert_msg(!leaked, "the log of an instance contains a key");
}

static const char *
node_scheme(const cluster_t *cluster, node_t node)
{
	return cluster->tls && node < NODE_INSTANCES ? "https" : "http";
}

const char *
node_url(const cluster_t *cluster, node_t node, const char *format, ...)
{
	static char urls[8][1024];
	static unsigned int next;
	char *url = urls[next++ % G_N_ELEMENTS(urls)];
	g_autofree char *path = NULL;
	va_list args;

	va_start(args, format);
	path = g_strdup_vprintf(format, args);
	va_end(args);
	g_snprintf(url, sizeof(urls[0]), "%s://127.0.0.1:%d%s",
	    node_scheme(cluster, node), cluster->ports[node], path);
	return url;
}

long
node_rss_kb(cluster_t *cluster, node_t node)
{
	g_autofree char *path =
	    g_strdup_printf("/proc/%d/status", (int)cluster->pids[node]);
	g_autofree char *text = NULL;
	const char *line;

	ck_assert(g_file_get_contents(path, &text, NULL, NULL));
	line = strstr(text, "VmRSS:");
	ck_assert_ptr_nonnull(line);
	return strtol(line + strlen("VmRSS:"), NULL, 10);
}
