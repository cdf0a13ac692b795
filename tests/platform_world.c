#include "platform_world.h"

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Limits of the usual configuration. */
#define IDLE_TIMEOUT_MS 5000
#define MAX_BODY_BYTES 65536

/* The only target of its service. */
#define DESK_WORKER 2

extern char **environ;

static void
instance_ip(const world_t *world, int instance, char *ip, size_t size)
{
	g_snprintf(ip, (gulong)size, "127.%d.%d.%d", world->net[0],
	    world->net[1], instance + 1);
}

uint32_t
world_ip(const world_t *world, int instance)
{
	return UINT32_C(127) << 24 | (uint32_t)world->net[0] << 16 |
	       (uint32_t)world->net[1] << 8 | (uint32_t)(instance + 1);
}

/* Ports that are free on the first instance's address are free on all: no
 * other test has these addresses. */
static uint16_t
free_port(const world_t *world)
{
	char ip[32];
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	instance_ip(world, 0, ip, sizeof(ip));
	inet_pton(AF_INET, ip, &at.sin_addr);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	getsockname(fd, (struct sockaddr *)&at, &len);
	close(fd);
	return ntohs(at.sin_port);
}

void
world_publish_version(
    world_t *world, int worker, const char *state, const char *version)
{
	g_autofree char *key = g_strdup_printf("servers/w%d", worker);
	g_autofree char *value = NULL;

	if (state != NULL)
		value = g_strdup_printf(
		    "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
		    "\"zone\":\"a-1\",\"version\":\"%s\",\"slots\":8,"
		    "\"state\":\"%s\",\"cold_remaining_ms\":0,\"seq\":1,"
		    "\"born\":1}",
		    worker == DESK_WORKER ? "desk" : "pen",
		    world->worker_ports[worker], version, state);
	fake_store_put(world->store, key, value);
}

void
world_publish_worker(world_t *world, int worker, const char *state)
{
	world_publish_version(world, worker, state, "v1");
}

static void
config_publish(world_t *world, int version, const char *key, const char *extra,
    int idle_timeout_ms, int max_body_bytes)
{
	g_autofree char *value = g_strdup_printf(
	    "{\"version\":%d,\"routes\":["
	    "{\"name\":\"read\",\"host\":\"h\",\"prefix\":\"/read/\","
	    "\"route_type\":\"safe\",\"timeout_ms\":4000,\"service\":\"pen\","
	    "\"target_latency_ms\":500,\"max_attempts\":2,\"priority\":1},"
	    "{\"name\":\"order\",\"host\":\"h\",\"prefix\":\"/order/\","
	    "\"route_type\":\"unsafe\",\"timeout_ms\":4000,"
	    "\"target_latency_ms\":500,\"service\":\"desk\","
	    "\"max_attempts\":1,\"priority\":2},"
	    "{\"name\":\"write\",\"host\":\"h\",\"prefix\":\"/write/\","
	    "\"route_type\":\"streaming\",\"timeout_ms\":8000,"
	    "\"target_latency_ms\":800,\"service\":\"pen\","
	    "\"max_attempts\":2,\"priority\":0,\"resumable\":true}%s],"
	    "\"services\":[{\"name\":\"pen\",\"max_connections\":100,"
	    "\"cold_per_s\":2,\"health_path\":\"/health\"},"
	    "{\"name\":\"desk\",\"max_connections\":100}],"
	    "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":%d,"
	    "\"header_timeout_ms\":1000,\"idle_timeout_ms\":%d},"
	    "\"tenants\":[{\"name\":\"parish\",\"api_keys\":[\"%s\"],"
	    "\"rate_per_s\":0,\"burst\":0}]}",
	    version, extra, max_body_bytes, idle_timeout_ms, key);

	fake_store_put(world->store, "op/config", value);
}

void
world_configure(world_t *world, int version, const char *key, const char *extra)
{
	config_publish(
	    world, version, key, extra, IDLE_TIMEOUT_MS, MAX_BODY_BYTES);
}

void
world_configure_body(world_t *world, int version, int max_body_bytes)
{
	config_publish(
	    world, version, "key-1", "", IDLE_TIMEOUT_MS, max_body_bytes);
}

void
world_configure_limits(world_t *world, int version, int idle_timeout_ms)
{
	config_publish(
	    world, version, "key-1", "", idle_timeout_ms, MAX_BODY_BYTES);
}

void
world_add_worker(world_t *world)
{
	int worker = world->n_workers++;
	g_autofree char *id = g_strdup_printf("w%d", worker);

	ck_assert_int_lt(worker, WORLD_WORKERS_LIMIT);
	world->workers[worker] =
	    fake_worker_create(id, &world->worker_ports[worker]);
	world_publish_worker(world, worker, "ready");
}

void
world_create(world_t *world)
{
	memset(world, 0, sizeof(*world));
	world->folder = g_dir_make_tmp("platform-XXXXXX", NULL);
	world->net[0] = (uint8_t)(1 + getpid() / 250 % 250);
	world->net[1] = (uint8_t)(1 + getpid() % 250);
	for (size_t i = 0; i < G_N_ELEMENTS(world->ports); i++) {
		bool used = true;

		while (used) {
			used = false;
			world->ports[i] = free_port(world);
			for (size_t j = 0; j < i; j++)
				used |= world->ports[j] == world->ports[i];
		}
	}
	world->dead_port = free_port(world);
	world->store = fake_store_create(&world->store_port);
	for (int i = 0; i < WORLD_WORKERS; i++)
		world_add_worker(world);
	world_configure(world, 3, "key-1", "");
}

void
world_destroy(world_t *world)
{
	for (int i = 0; i < WORLD_INSTANCES; i++) {
		if (world->pids[i] != 0) {
			kill(world->pids[i], SIGKILL);
			waitpid(world->pids[i], NULL, 0);
		}
	}
	for (int i = 0; i < world->n_workers; i++)
		fake_worker_destroy(world->workers[i]);
	fake_store_destroy(world->store);
	for (size_t i = 0; i < G_N_ELEMENTS(world->silent_fds); i++) {
		if (world->silent_port != 0)
			close(world->silent_fds[i]);
	}
	g_free(world->folder);
}

static char *
settings_write(
    const world_t *world, int instance, const char *zone, bool store_reachable)
{
	char *path =
	    g_strdup_printf("%s/settings-%d.yaml", world->folder, instance);
	char ip[32];
	char seed[32];
	g_autofree char *text = NULL;

	instance_ip(world, instance, ip, sizeof(ip));
	instance_ip(world, 0, seed, sizeof(seed));
	text = g_strdup_printf("gateway:\n"
			       "  instance: i%d\n"
			       "  zone: %s\n"
			       "  callers: %s:%u\n"
			       "  health: %s:%u\n"
			       "  directory: %s:%u\n"
			       "  peer: %s:%u\n"
			       "  metrics: %s:%u\n"
			       "  store: 127.0.0.1:%u\n"
			       "  seeds: [\"%s:1\"]\n"
			       "  zones: {a-1: a, b-1: b}\n"
			       "  grace_s: 6\n"
			       "  retry_slack: 40\n",
	    instance, zone, ip, world->ports[0], ip, world->ports[1], ip,
	    world->ports[2], ip, world->ports[3], ip, world->ports[4],
	    store_reachable ? world->store_port : world->dead_port, seed);
	if (world->descriptor_limit > 0) {
		char *unlimited = text;

		text = g_strdup_printf("%s  descriptor_limit: %u\n", unlimited,
		    world->descriptor_limit);
		g_free(unlimited);
	}
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static bool
is_ready(const world_t *world, int instance)
{
	world_answer_t answer =
	    world_get(world, instance, PORT_HEALTH, "/ready");
	bool ready = answer.status == 200;

	world_answer_clear(&answer);
	return ready;
}

void
world_start(world_t *world, int instance, const char *zone,
    bool store_reachable, bool wait)
{
	const char *before = g_getenv("CYCLAMENSAIL_BUILD_0");
	const char *build =
	    instance == 0 && before ? before : g_getenv("CYCLAMENSAIL_BUILD");
	g_autofree char *program =
	    g_build_filename(build, "cyclamensail", "cyclamensail", NULL);
	g_autofree char *settings =
	    settings_write(world, instance, zone, store_reachable);
	g_autofree char *log =
	    g_strdup_printf("%s/log-%d", world->folder, instance);
	char *argv[] = {program, "--settings", settings, NULL};
	posix_spawn_file_actions_t actions;

	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(
	    &actions, STDOUT_FILENO, log, O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(
	    &actions, STDOUT_FILENO, STDERR_FILENO);
	ck_assert_int_eq(posix_spawn(&world->pids[instance], program, &actions,
			     NULL, argv, environ),
	    0);
	posix_spawn_file_actions_destroy(&actions);
	if (wait)
		WORLD_WAIT(is_ready(world, instance), 10000);
}

/* Starts an instance with a library of this build preloaded. */
static void
start_preloaded(
    world_t *world, int instance, const char *zone, const char *name)
{
	g_autofree char *library = g_build_filename(
	    g_getenv("CYCLAMENSAIL_BUILD"), "tests", name, NULL);
	g_autofree char *sanitizer = g_strdup(g_getenv("ASAN_OPTIONS"));
	g_autofree char *options =
	    g_strdup_printf("%s%sverify_asan_link_order=0",
		sanitizer ? sanitizer : "", sanitizer ? ":" : "");

	g_setenv("LD_PRELOAD", library, TRUE);
	g_setenv("ASAN_OPTIONS", options, TRUE);
	world_start(world, instance, zone, true, false);
	g_unsetenv("LD_PRELOAD");
	if (sanitizer != NULL)
		g_setenv("ASAN_OPTIONS", sanitizer, TRUE);
	else
		g_unsetenv("ASAN_OPTIONS");
	WORLD_WAIT(is_ready(world, instance), 10000);
}

void
world_start_stalling(world_t *world, int instance)
{
	start_preloaded(world, instance, "a-1", "libstall.so");
}

static char *
cut_path(const world_t *world, int instance)
{
	return g_strdup_printf("%s/cut-%d", world->folder, instance);
}

void
world_start_cuttable(world_t *world, int instance, const char *zone)
{
	g_autofree char *path = cut_path(world, instance);
	g_autofree char *port = g_strdup_printf("%u", world->store_port);

	g_setenv("CUT_FILE", path, TRUE);
	g_setenv("CUT_STORE_PORT", port, TRUE);
	start_preloaded(world, instance, zone, "libcut.so");
	g_unsetenv("CUT_FILE");
	g_unsetenv("CUT_STORE_PORT");
}

/* Opens a port on which connections are never established. */
static void
silent_port_open(world_t *world)
{
	struct sockaddr_in at = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(at);

	world->silent_fds[0] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
	    bind(world->silent_fds[0], (struct sockaddr *)&at, sizeof(at)), 0);
	listen(world->silent_fds[0], 0);
	getsockname(world->silent_fds[0], (struct sockaddr *)&at, &len);
	world->silent_port = ntohs(at.sin_port);
	/* These fill its queue. */
	for (size_t i = 1; i < G_N_ELEMENTS(world->silent_fds); i++) {
		world->silent_fds[i] = socket(
		    AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
		(void)connect(
		    world->silent_fds[i], (struct sockaddr *)&at, len);
	}
}

void
world_cut(world_t *world, int instance, world_cut_t cut)
{
	g_autofree char *path = cut_path(world, instance);
	g_autofree char *text = NULL;

	switch (cut) {
	case CUT_NONE:
		unlink(path);
		return;
	case CUT_SILENT:
		if (world->silent_port == 0)
			silent_port_open(world);
		text = g_strdup_printf("%u", world->silent_port);
		break;
	case CUT_REFUSED:
		text = g_strdup_printf("%u", world->dead_port);
		break;
	}
	ck_assert(g_file_set_contents(path, text, -1, NULL));
}

void
world_signal(world_t *world, int instance, int signal)
{
	kill(world->pids[instance], signal);
}

int
world_wait_end(world_t *world, int instance, int timeout_ms)
{
	int status;

	for (int waited = 0; waited < timeout_ms; waited += 20) {
		if (waitpid(world->pids[instance], &status, WNOHANG) > 0) {
			world->pids[instance] = 0;
			return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
		}
		g_usleep(20000);
	}
	return -1;
}

bool
world_connect_socket(
    const world_t *world, int instance, world_port_t port, int fd)
{
	char ip[32];
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(world->ports[port])};

	instance_ip(world, instance, ip, sizeof(ip));
	inet_pton(AF_INET, ip, &to.sin_addr);
	return connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0;
}

int
world_connect(const world_t *world, int instance, world_port_t port)
{
	struct timeval limit = {.tv_sec = 15};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (world_connect_socket(world, instance, port, fd))
		return fd;
	close(fd);
	return -1;
}

void
world_send(int fd, const char *text)
{
	send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static bool
byte_read(int fd, GString *text)
{
	char byte;

	if (recv(fd, &byte, 1, 0) != 1)
		return false;
	g_string_append_c(text, byte);
	return true;
}

static bool
chunked_read(int fd, GString *body)
{
	for (;;) {
		g_autoptr(GString) line = g_string_new(NULL);
		gsize size;

		while (!g_str_has_suffix(line->str, "\r\n")) {
			if (!byte_read(fd, line))
				return false;
		}
		size = strtoul(line->str, NULL, 16);
		g_string_truncate(line, 0);
		for (gsize i = 0; i < size; i++) {
			if (!byte_read(fd, body))
				return false;
		}
		for (int i = 0; i < 2; i++) {
			if (!byte_read(fd, line))
				return false;
		}
		if (size == 0)
			return true;
	}
}

world_answer_t
world_read(int fd)
{
	world_answer_t answer = {0};
	g_autoptr(GString) head = g_string_new(NULL);
	GString *body = g_string_new(NULL);
	char *length;

	while (!g_str_has_suffix(head->str, "\r\n\r\n")) {
		if (!byte_read(fd, head))
			break;
	}
	sscanf(head->str, "HTTP/1.1 %d", &answer.status);
	length = strstr(head->str, "Content-Length: ");
	if (strstr(head->str, "Transfer-Encoding: chunked") != NULL) {
		answer.whole = chunked_read(fd, body);
	} else if (length != NULL) {
		gsize want = strtoul(length + 16, NULL, 10);

		while (body->len < want && byte_read(fd, body))
			;
		answer.whole = body->len == want;
	}
	answer.head = g_strdup(head->str);
	answer.body = g_string_free(body, FALSE);
	return answer;
}

void
world_answer_clear(world_answer_t *answer)
{
	g_free(answer->head);
	g_free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

world_answer_t
world_call(const world_t *world, int instance, const char *method,
    const char *path, const char *id, const char *fields, const char *body)
{
	int fd = world_connect(world, instance, PORT_CALLERS);
	g_autofree char *length =
	    body ? g_strdup_printf("Content-Length: %zu\r\n", strlen(body))
		 : g_strdup("");
	g_autofree char *request = g_strdup_printf(
	    "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n%s%s\r\n%s", method,
	    path, id, fields, length, body ? body : "");
	world_answer_t answer = {0};

	if (fd < 0)
		return answer;
	world_send(fd, request);
	answer = world_read(fd);
	close(fd);
	return answer;
}

world_answer_t
world_get(
    const world_t *world, int instance, world_port_t port, const char *path)
{
	int fd = world_connect(world, instance, port);
	g_autofree char *request =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path);
	world_answer_t answer = {0};

	if (fd < 0)
		return answer;
	world_send(fd, request);
	answer = world_read(fd);
	close(fd);
	return answer;
}

int
world_status(const world_t *world, int instance, const char *path)
{
	world_answer_t answer =
	    world_call(world, instance, "GET", path, "probe", WORLD_KEY, NULL);
	int status = answer.status;

	world_answer_clear(&answer);
	return status;
}

bool
world_is_ready(const world_t *world, int instance)
{
	world_answer_t answer =
	    world_get(world, instance, PORT_HEALTH, "/ready");
	bool ready = answer.status == 200;

	world_answer_clear(&answer);
	return ready;
}

size_t
world_gauge(const world_t *world, int instance, const char *name)
{
	world_answer_t answer =
	    world_get(world, instance, PORT_METRICS, "/metrics");
	const char *line = answer.body ? strstr(answer.body, name) : NULL;
	size_t value;

	ck_assert_msg(line != NULL, "no gauge %s", name);
	value = strtoull(line + strlen(name), NULL, 10);
	world_answer_clear(&answer);
	return value;
}
