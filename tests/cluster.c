#include "cluster.h"

#include <arpa/inet.h>
#include <check.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <glib/gprintf.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define CASE_TIMEOUT_S 120
#define PORT_FIRST 10000
#define PORT_LAST 32000

/* A slow reader takes its bytes in steps of this size. */
#define SLOW_STEP_BYTES 256UL
#define SLOW_RECEIVE_BUFFER_BYTES 4096
/* With the 64 KiB segments of loopback, the kernel's send buffer grows to
 * megabytes and holds whole answers. */
#define NETWORK_SEGMENT_BYTES 1400

extern char **environ;

const char *const node_names[NODE_COUNT] = {
    "s1", "s2", "z1", "z2", "w1", "w2", "w3", "r1", "r2", "platform"};

const char *http_authority;

struct http_task {
	pthread_t thread;
	char *url;
	char *key;
	char *ticket;
	char *body;
	long bytes_per_s;
	answer_t *answer;
	size_t bytes;
};

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

/* No reader sees half of it. */
void
cluster_publish_file(cluster_t *cluster, const char *name, const char *text)
{
	g_autofree char *path = g_build_filename(cluster->folder, name, NULL);
	g_autoptr(GError) error = NULL;
	bool written = g_file_set_contents(path, text, -1, &error);

	ck_assert_msg(written, "%s", written ? "" : error->message);
}

void
cluster_append_key(GString *text, const char *id, const char *key)
{
	g_autofree char *hash =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);

	g_string_append_printf(
	    text, "      - { id: %s, sha256: %s }\n", id, hash);
}

void
cluster_publish_plans(cluster_t *cluster)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\nteams:\n",
	    ++cluster->versions[0]);
	g_string_append(text,
	    "  - name: parish-nitra\n    plan: volunteer\n    home: stred\n"
	    "    keys:\n");
	cluster_append_key(text, "k1", PARISH_KEY);
	g_string_append(
	    text, "  - name: tag-desk\n    plan: desk\n    keys:\n");
	if (!cluster->desk_key_withdrawn)
		cluster_append_key(text, "k1", DESK_KEY);
	cluster_append_key(text, "spare", SPARE_KEY);
	g_string_append(
	    text, "  - name: guest-house\n    plan: small\n    keys:\n");
	cluster_append_key(text, "k1", GUEST_KEY);
	g_string_append(text, cluster->extra_team->str);
	cluster_publish_file(cluster, "plans.yaml", text->str);
	g_string_free(text, TRUE);
}

/* Engines start with version v1 and role generate of model m. */
static char *
desired_text(const char *version)
{
	if (version == NULL)
		return g_strdup("");
	return g_strdup_printf(", fencing: refuse, desired: [\n"
			       "      { region: stred, model: m, version: %s, "
			       "adapters: [a], role: draft },\n"
			       "      { region: zapad, model: m, version: %s, "
			       "role: draft }]",
	    version, version);
}

void
cluster_publish_allowances(cluster_t *cluster)
{
	g_autofree char *desired = desired_text(cluster->engine_version);
	g_autofree char *parts =
	    cluster->plans_parts > 0
		? g_strdup_printf("plans_parts: %u\n", cluster->plans_parts)
		: g_strdup("");
	g_autofree char *text = g_strdup_printf(
	    "version: %" G_GUINT64_FORMAT "\n%s"
	    "weight_store: { region: zapad, loads_at_a_time: 2 }\n"
	    "zones:\n"
	    "  - { name: stred-1, region: stred, weight: 1 }\n"
	    "  - { name: zapad-1, region: zapad, weight: 1 }\n"
	    "services:\n"
	    "  - { name: epitaph-writer, kind: engine%s }\n"
	    "  - { name: tag-registry, kind: plain, orders: [/orders] }\n"
	    "  - { name: opening-hours, kind: plain, open: true }\n"
	    "plans:\n"
	    "  - { name: volunteer, rate: 100000, burst: 400000, priority: 1,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred] }] }\n"
	    "  - { name: desk, rate: %d, burst: %d, priority: 0,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred, zapad] "
	    "},\n"
	    "            { service: tag-registry, regions: [stred, zapad] }] "
	    "}\n"
	    "  - { name: small, rate: %d, burst: %d, priority: 2,\n"
	    "      use: [{ service: epitaph-writer, regions: [stred, zapad] }] "
	    "}\n",
	    ++cluster->versions[1], parts, desired, cluster->desk_rate,
	    cluster->desk_burst, cluster->small_rate, cluster->small_burst);

	cluster_publish_file(cluster, "allowances.yaml", text);
}

static void
target_append(cluster_t *cluster, GString *text, node_t node, const char *zone,
    const char *service)
{
	if (cluster->absent[node])
		return;
	g_string_append_printf(text,
	    "  - { name: %s, zone: %s, service: %s, url: "
	    "\"http://127.0.0.1:%d\", slots: %d, state: %s }\n",
	    node_names[node], zone, service, cluster->ports[node],
	    cluster->engine_slots, cluster->leaving[node] ? "leaving" : "live");
}

/* Port at which others reach a process. */
static int
port_of(const tcp_relay_t *relay, int port)
{
	return relay ? tcp_relay_port(relay) : port;
}

void
cluster_publish_fleet(cluster_t *cluster)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "version: %" G_GUINT64_FORMAT "\ninstances:\n",
	    ++cluster->versions[2]);
	for (int i = 0; i < NODE_INSTANCES; i++) {
		if (cluster->absent[i])
			continue;
		g_string_append_printf(text,
		    "  - { name: %s, zone: %s, http: 127.0.0.1:%d, peer: "
		    "127.0.0.1:%d, state: %s }\n",
		    node_names[i], i < NODE_Z1 ? "stred-1" : "zapad-1",
		    port_of(cluster->http_relays[i], cluster->ports[i]),
		    port_of(cluster->peer_relays[i], cluster->peer_ports[i]),
		    cluster->leaving[i] ? "leaving" : "live");
	}
	g_string_append(text, "targets:\n");
	target_append(cluster, text, NODE_W1, "stred-1", "epitaph-writer");
	target_append(cluster, text, NODE_W2, "stred-1", "epitaph-writer");
	target_append(cluster, text, NODE_W3, "zapad-1", "epitaph-writer");
	target_append(cluster, text, NODE_R1, "stred-1", "tag-registry");
	target_append(cluster, text, NODE_R2, "zapad-1", "tag-registry");
	cluster_publish_file(cluster, "fleet.yaml", text->str);
	g_string_free(text, TRUE);
}

static void
settings_write(cluster_t *cluster, node_t node)
{
	g_autofree char *name =
	    g_strdup_printf("%s-settings.yaml", node_names[node]);
	g_autofree char *text = g_strdup_printf(
	    "instance: %s\nzone: %s\nhttp: 127.0.0.1:%d\npeer: 127.0.0.1:%d\n"
	    "admin: 127.0.0.1:%d\n"
	    "platform: [\"http://127.0.0.1:%d\"]\nseeds: [\"127.0.0.1:%d\", "
	    "\"127.0.0.1:%d\"]\nfleet_secrets: "
	    "[0102030405060708090a0b0c0d0e0f10"
	    "1112131415161718191a1b1c1d1e1f20]\nlog_level: info\n",
	    node_names[node], node < NODE_Z1 ? "stred-1" : "zapad-1",
	    cluster->ports[node], cluster->peer_ports[node],
	    cluster->admin_ports[node],
	    port_of(
		cluster->platform_relays[node], cluster->ports[NODE_PLATFORM]),
	    port_of(
		cluster->peer_relays[NODE_S1], cluster->peer_ports[NODE_S1]),
	    port_of(
		cluster->peer_relays[NODE_Z1], cluster->peer_ports[NODE_Z1]));

	if (cluster->tls) {
		g_autofree char *pair =
		    g_strdup_printf("tls: { certificate: %s/tls.pem, key: "
				    "%s/tls.key%s%s%s }\n",
			cluster->folder, cluster->folder,
			cluster->no_authority[node] ? "" : ", authority: ",
			cluster->no_authority[node] ? "" : cluster->folder,
			cluster->no_authority[node] ? "" : "/tls.pem");
		char *plain = text;

		text = g_strconcat(plain, pair, NULL);
		g_free(plain);
	}
	cluster_publish_file(cluster, name, text);
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

/* The inode of the client's socket of a connection on loopback, or 0. */
static unsigned long
socket_inode(int client_port, int relay_port)
{
	char line[512];
	unsigned long found = 0;
	FILE *file = fopen("/proc/self/net/tcp", "re");

	while (found == 0 && file != NULL &&
	       fgets(line, sizeof(line), file) != NULL) {
		unsigned int local;
		unsigned int remote;
		unsigned long inode;

		if (sscanf(line,
			"%*d: %*8x:%x %*8x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d "
			"%lu",
			&local, &remote, &inode) == 3 &&
		    (int)local == client_port && (int)remote == relay_port)
			found = inode;
	}
	if (file != NULL)
		fclose(file);
	return found;
}

static bool
process_holds_socket(pid_t pid, unsigned long inode)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid);
	g_autofree char *wanted = g_strdup_printf("socket:[%lu]", inode);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;
	bool found = false;

	while (!found && dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
		g_autofree char *fd = g_build_filename(path, name, NULL);
		g_autofree char *link = g_file_read_link(fd, NULL);

		found = g_strcmp0(link, wanted) == 0;
	}
	if (dir != NULL)
		g_dir_close(dir);
	return found;
}

/* The instance that opened a connection; all use the same address. */
static int
connection_source(void *user, int client_port, int relay_port)
{
	const cluster_t *cluster = user;
	unsigned long inode = socket_inode(client_port, relay_port);

	for (int i = 0; inode != 0 && i < NODE_INSTANCES; i++) {
		if (cluster->pids[i] > 0 &&
		    process_holds_socket(cluster->pids[i], inode))
			return i;
	}
	return NODE_COUNT;
}

void
cluster_relay(cluster_t *cluster)
{
	for (int i = 0; i < NODE_INSTANCES; i++) {
		cluster->http_relays[i] = tcp_relay_create(
		    cluster->ports[i], connection_source, cluster);
		cluster->peer_relays[i] = tcp_relay_create(
		    cluster->peer_ports[i], connection_source, cluster);
		cluster->platform_relays[i] =
		    tcp_relay_create(cluster->ports[NODE_PLATFORM], NULL, NULL);
	}
	cluster_publish_fleet(cluster);
}

void
cluster_link(cluster_t *cluster, node_t a, node_t b, tcp_relay_mode_t mode)
{
	tcp_relay_set(cluster->http_relays[a], (int)b, mode);
	tcp_relay_set(cluster->peer_relays[a], (int)b, mode);
	tcp_relay_set(cluster->http_relays[b], (int)a, mode);
	tcp_relay_set(cluster->peer_relays[b], (int)a, mode);
}

void
cluster_link_zones(cluster_t *cluster, tcp_relay_mode_t mode)
{
	for (int a = NODE_S1; a <= NODE_S2; a++) {
		for (int b = NODE_Z1; b <= NODE_Z2; b++)
			cluster_link(cluster, (node_t)a, (node_t)b, mode);
	}
}

void
cluster_link_platform(cluster_t *cluster, node_t node, tcp_relay_mode_t mode)
{
	tcp_relay_set(cluster->platform_relays[node], 0, mode);
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

static size_t
body_receive(char *data, size_t size, size_t count, void *user)
{
	http_task_t *task = user;

	g_string_append_len(task->answer->body, data, (gssize)(size * count));
	task->answer->last_byte_at = g_get_monotonic_time();
	__atomic_add_fetch(&task->bytes, size * count, __ATOMIC_RELAXED);
	/* Reads late, so that the sender sees a full receive buffer. */
	for (size_t read = 0; read < size * count; read += SLOW_STEP_BYTES) {
		long rate =
		    __atomic_load_n(&task->bytes_per_s, __ATOMIC_RELAXED);

		if (rate > 0)
			g_usleep(
			    SLOW_STEP_BYTES * G_USEC_PER_SEC / (gulong)rate);
	}
	return size * count;
}

static int
receive_buffer_shrink(void *user, curl_socket_t fd, curlsocktype purpose)
{
	int bytes = SLOW_RECEIVE_BUFFER_BYTES;
	int segment = NETWORK_SEGMENT_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	return CURL_SOCKOPT_OK;
}

static size_t
header_receive(char *data, size_t size, size_t count, void *user)
{
	http_task_t *task = user;

	g_string_append_len(
	    task->answer->headers, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *
headers_build(const http_task_t *task)
{
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	g_autofree char *key =
	    g_strdup_printf("Authorization: Bearer %s", task->key);
	g_autofree char *ticket =
	    g_strdup_printf("Idempotency-Key: %s", task->ticket);

	if (task->key != NULL)
		headers = curl_slist_append(headers, key);
	if (task->ticket != NULL)
		headers = curl_slist_append(headers, ticket);
	if (task->body != NULL)
		headers = curl_slist_append(
		    headers, "Content-Type: application/json");
	return headers;
}

static void
task_run(http_task_t *task)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = headers_build(task);
	answer_t *answer = task->answer;
	CURLcode code;

	curl_easy_setopt(easy, CURLOPT_URL, task->url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT, 120L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, body_receive);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, task);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_receive);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, task);
	curl_easy_setopt(
	    easy, CURLOPT_MAX_RECV_SPEED_LARGE, (curl_off_t)task->bytes_per_s);
	if (http_authority != NULL)
		curl_easy_setopt(easy, CURLOPT_CAINFO, http_authority);
	if (task->bytes_per_s > 0) {
		curl_easy_setopt(easy, CURLOPT_TIMEOUT, 0L);
		curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 1024L);
		curl_easy_setopt(
		    easy, CURLOPT_SOCKOPTFUNCTION, receive_buffer_shrink);
	}
	if (task->body != NULL)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, task->body);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &answer->seconds);
	answer->whole = code == CURLE_OK;
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
}

static http_task_t *
task_create(const char *url, const char *key, const char *ticket,
    const char *body, long bytes_per_s)
{
	http_task_t *task = g_new0(http_task_t, 1);

	task->url = g_strdup(url);
	task->key = g_strdup(key);
	task->ticket = g_strdup(ticket);
	task->body = g_strdup(body);
	task->bytes_per_s = bytes_per_s;
	task->answer = g_new0(answer_t, 1);
	task->answer->body = g_string_new(NULL);
	task->answer->headers = g_string_new(NULL);
	return task;
}

static answer_t *
task_finish(http_task_t *task)
{
	answer_t *answer = task->answer;

	g_free(task->url);
	g_free(task->key);
	g_free(task->ticket);
	g_free(task->body);
	g_free(task);
	return answer;
}

answer_t *
http_call(
    const char *url, const char *key, const char *ticket, const char *body)
{
	http_task_t *task = task_create(url, key, ticket, body, 0);

	task_run(task);
	return task_finish(task);
}

void
answer_free(answer_t *answer)
{
	g_string_free(answer->body, TRUE);
	g_string_free(answer->headers, TRUE);
	g_free(answer);
}

static void *
task_thread(void *user)
{
	task_run(user);
	return NULL;
}

static http_task_t *
task_launch(http_task_t *task)
{
	ck_assert_int_eq(
	    pthread_create(&task->thread, NULL, task_thread, task), 0);
	return task;
}

http_task_t *
http_start(
    const char *url, const char *key, const char *ticket, const char *body)
{
	return task_launch(task_create(url, key, ticket, body, 0));
}

http_task_t *
http_start_slow(
    const char *url, const char *key, const char *body, long bytes_per_s)
{
	return task_launch(task_create(url, key, NULL, body, bytes_per_s));
}

void
http_task_hasten(http_task_t *task)
{
	__atomic_store_n(&task->bytes_per_s, 0, __ATOMIC_RELAXED);
}

answer_t *
http_join(http_task_t *task)
{
	pthread_join(task->thread, NULL);
	return task_finish(task);
}

size_t
http_task_bytes(http_task_t *task)
{
	return __atomic_load_n(&task->bytes, __ATOMIC_RELAXED);
}

json_t *
target_record(cluster_t *cluster, node_t node)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "/record"), NULL, NULL, NULL);
	json_t *record =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);

	ck_assert_msg(
	    record != NULL, "no record of target %s", node_names[node]);
	answer_free(answer);
	return record;
}

json_int_t
target_count(cluster_t *cluster, node_t node, const char *name)
{
	json_t *record = target_record(cluster, node);
	json_t *value = json_object_get(record, name);
	json_int_t count = json_is_array(value)
			       ? (json_int_t)json_array_size(value)
			       : json_integer_value(value);

	json_decref(record);
	return count;
}

void
node_control(cluster_t *cluster, node_t node, const char *setting)
{
	answer_t *answer = http_call(
	    node_url(cluster, node, "/control?%s", setting), NULL, NULL, "");

	ck_assert_int_eq(answer->status, 200);
	answer_free(answer);
}

long long
instance_counter(cluster_t *cluster, node_t node, const char *id)
{
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d/metrics", cluster->admin_ports[node]);
	answer_t *answer = http_call(url, NULL, NULL, NULL);
	g_autofree char *line = g_strdup_printf("\n%s ", id);
	g_autofree char *text = g_strdup_printf("\n%s", answer->body->str);
	const char *at = strstr(text, line);
	long long value = at ? strtoll(at + strlen(line), NULL, 10) : -1;

	answer_free(answer);
	return value;
}

static const char *
error_member(const answer_t *answer, const char *name)
{
	static char text[128];
	json_t *json =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);
	const char *value = json_string_value(
	    json_object_get(json_object_get(json, "error"), name));

	g_strlcpy(text, value ? value : "", sizeof(text));
	json_decref(json);
	return text;
}

const char *
error_code(const answer_t *answer)
{
	return error_member(answer, "code");
}

const char *
error_ran(const answer_t *answer)
{
	return error_member(answer, "ran");
}

bool
stream_is_whole(const answer_t *answer, int n)
{
	const char *at = answer->body->str;
	int index = 0;

	while ((at = strstr(at, "data: ")) != NULL) {
		at += strlen("data: ");
		if (g_str_has_prefix(at, "[DONE]"))
			return index == n && answer->whole &&
			       strstr(at, "data: ") == NULL;
		if (!g_str_has_prefix(at, "{\"index\":") ||
		    strtol(at + strlen("{\"index\":"), NULL, 10) != index++)
			return false;
	}
	return false;
}

node_t
target_busy(cluster_t *cluster, node_t first, node_t last)
{
	for (int node = (int)first; node <= (int)last; node++) {
		if (cluster->pids[node] > 0 &&
		    target_count(cluster, (node_t)node, "in_flight") > 0)
			return (node_t)node;
	}
	return NODE_COUNT;
}

bool
directory_names_last(cluster_t *cluster, node_t node, const char *instance)
{
	answer_t *answer =
	    http_call(node_url(cluster, node, "/v1/directory?region=stred"),
		DESK_KEY, NULL, NULL);
	json_t *json =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);
	json_t *places = json_object_get(json, "instances");
	bool last = json_array_size(places) > 0;
	bool seen = false;
	json_t *place;
	size_t i;

	json_array_foreach(places, i, place)
	{
		last = last && !seen;
		seen =
		    g_strcmp0(json_string_value(json_object_get(place, "name")),
			instance) == 0;
	}
	json_decref(json);
	answer_free(answer);
	return last;
}

char *
ticket_take(cluster_t *cluster, node_t node)
{
	answer_t *answer = http_call(
	    node_url(cluster, node, "/v1/ticket"), DESK_KEY, NULL, NULL);
	json_t *json =
	    json_loadb(answer->body->str, answer->body->len, 0, NULL);
	char *ticket =
	    g_strdup(json_string_value(json_object_get(json, "ticket")));

	ck_assert_ptr_nonnull(ticket);
	json_decref(json);
	answer_free(answer);
	return ticket;
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

GHashTable *
cluster_arrivals(cluster_t *cluster)
{
	GHashTable *counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (int node = NODE_W1; node <= NODE_R2; node++) {
		json_t *record;
		json_t *arrival;
		size_t i;

		if (cluster->pids[node] <= 0)
			continue;
		record = target_record(cluster, (node_t)node);
		json_array_foreach(
		    json_object_get(record, "arrivals"), i, arrival)
		{
			const char *marker =
			    json_string_value(json_array_get(arrival, 2));

			g_hash_table_insert(counts, g_strdup(marker),
			    GUINT_TO_POINTER(arrivals_of(counts, marker) + 1));
		}
		json_decref(record);
	}
	return counts;
}

unsigned int
arrivals_of(GHashTable *arrivals, const char *marker)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(arrivals, marker));
}

typedef struct {
	double s;
	double tokens;
} arrival_t;

static gint
arrival_compare(gconstpointer a, gconstpointer b)
{
	const arrival_t *x = a;
	const arrival_t *y = b;

	return (x->s > y->s) - (x->s < y->s);
}

static GArray *
arrivals_read(cluster_t *cluster, const char *prefix)
{
	GArray *arrivals = g_array_new(FALSE, FALSE, sizeof(arrival_t));

	for (int node = NODE_W1; node <= NODE_W3; node++) {
		json_t *record = target_record(cluster, (node_t)node);
		json_t *item;
		size_t i;

		json_array_foreach(json_object_get(record, "arrivals"), i, item)
		{
			arrival_t arrival = {
			    json_number_value(json_array_get(item, 0)) / 1e6,
			    json_number_value(json_array_get(item, 1))};

			if (g_str_has_prefix(
				json_string_value(json_array_get(item, 2)),
				prefix))
				g_array_append_val(arrivals, arrival);
		}
		json_decref(record);
	}
	g_array_sort(arrivals, arrival_compare);
	return arrivals;
}

double
cluster_rate_excess(
    cluster_t *cluster, const char *prefix, double rate, double burst)
{
	GArray *arrivals = arrivals_read(cluster, prefix);
	double total = 0;
	double lowest = 0;
	double excess = -burst;

	/* total - rate x time rises by the excess of a window within it. */
	for (guint i = 0; i < arrivals->len; i++) {
		const arrival_t *arrival =
		    &g_array_index(arrivals, arrival_t, i);

		if (i == 0 || total - rate * arrival->s < lowest)
			lowest = total - rate * arrival->s;
		total += arrival->tokens;
		excess =
		    MAX(excess, total - rate * arrival->s - lowest - burst);
	}
	printf("%s: %u arrivals, %.0f tokens, excess %.1f tokens\n", prefix,
	    arrivals->len, total, excess);
	g_array_free(arrivals, TRUE);
	return excess;
}

struct load {
	cluster_t *cluster;
	load_spec_t spec;
	int stopping;
	int next_caller;
	int next_request;
	pthread_mutex_t lock;
	GArray *results;
	pthread_t *threads;
};

static node_t
caller_node(const load_t *load, int caller)
{
	int node = 0;

	for (int skip = caller;; node = (node + 1) % NODE_INSTANCES) {
		if ((load->spec.nodes & (1U << node)) != 0 && skip-- == 0)
			return (node_t)node;
	}
}

static void
load_call(load_t *load, node_t node)
{
	const load_spec_t *spec = &load->spec;
	load_result_t result = {.node = node, .at = g_get_monotonic_time()};
	g_autofree char *url =
	    g_strdup_printf("http://127.0.0.1:%d/v1/services/epitaph-writer/"
			    "generate",
		load->cluster->ports[node]);
	g_autofree char *body = NULL;
	answer_t *answer;

	snprintf(result.marker, sizeof(result.marker), "%s-%d", spec->tag,
	    __atomic_fetch_add(&load->next_request, 1, __ATOMIC_RELAXED));
	body = g_strdup_printf(
	    "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}",
	    result.marker, spec->tokens, spec->stream ? "true" : "false");
	answer = http_call(url, spec->key, NULL, body);
	result.status = answer->status;
	result.seconds = answer->seconds;
	result.whole = answer->status == 200 && answer->whole &&
		       (!spec->stream ||
			   strstr(answer->body->str, "data: [DONE]") != NULL);
	if (answer->status != 200) {
		json_t *json =
		    json_loadb(answer->body->str, answer->body->len, 0, NULL);
		json_t *error = json_object_get(json, "error");
		const char *code =
		    json_string_value(json_object_get(error, "code"));
		const char *ran =
		    json_string_value(json_object_get(error, "ran"));

		g_strlcpy(result.code, code ? code : "", sizeof(result.code));
		g_strlcpy(result.ran, ran ? ran : "", sizeof(result.ran));
		json_decref(json);
	}
	answer_free(answer);
	pthread_mutex_lock(&load->lock);
	g_array_append_val(load->results, result);
	pthread_mutex_unlock(&load->lock);
}

static void *
caller_run(void *user)
{
	load_t *load = user;
	int caller =
	    __atomic_fetch_add(&load->next_caller, 1, __ATOMIC_RELAXED);
	node_t node = caller_node(load, caller);
	gint64 interval = load->spec.interval_ms * G_GINT64_CONSTANT(1000);
	/* Callers start evenly over one interval. */
	gint64 next =
	    g_get_monotonic_time() + interval * caller / load->spec.callers;

	while (!__atomic_load_n(&load->stopping, __ATOMIC_ACQUIRE)) {
		gint64 now = g_get_monotonic_time();

		if (now < next) {
			g_usleep((gulong)MIN(next - now, 10000));
			continue;
		}
		next += interval;
		load_call(load, node);
	}
	return NULL;
}

load_t *
load_start(cluster_t *cluster, const load_spec_t *spec)
{
	load_t *load = g_new0(load_t, 1);

	load->cluster = cluster;
	load->spec = *spec;
	pthread_mutex_init(&load->lock, NULL);
	load->results = g_array_new(FALSE, FALSE, sizeof(load_result_t));
	load->threads = g_new0(pthread_t, (gsize)spec->callers);
	for (int i = 0; i < spec->callers; i++)
		ck_assert_int_eq(
		    pthread_create(&load->threads[i], NULL, caller_run, load),
		    0);
	return load;
}

GArray *
load_stop(load_t *load)
{
	GArray *results = load->results;

	__atomic_store_n(&load->stopping, 1, __ATOMIC_RELEASE);
	for (int i = 0; i < load->spec.callers; i++)
		pthread_join(load->threads[i], NULL);
	pthread_mutex_destroy(&load->lock);
	g_free(load->threads);
	g_free(load);
	return results;
}

unsigned int
load_count(load_t *load)
{
	unsigned int count;

	pthread_mutex_lock(&load->lock);
	count = load->results->len;
	pthread_mutex_unlock(&load->lock);
	return count;
}

double
results_share(const GArray *results, const char *code)
{
	unsigned int n = 0;

	for (guint i = 0; i < results->len; i++)
		n += strcmp(g_array_index(results, load_result_t, i).code,
			 code) == 0;
	return results->len ? (double)n / results->len : 0;
}

static gint
seconds_compare(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double
results_latency(const GArray *results, double fraction)
{
	g_autoptr(GArray) seconds = g_array_new(FALSE, FALSE, sizeof(double));

	for (guint i = 0; i < results->len; i++) {
		const load_result_t *result =
		    &g_array_index(results, load_result_t, i);

		if (result->whole)
			g_array_append_val(seconds, result->seconds);
	}
	if (seconds->len == 0)
		return 0;
	g_array_sort(seconds, seconds_compare);
	return g_array_index(
	    seconds, double, (guint)((seconds->len - 1) * fraction));
}

void
results_check_not_run(cluster_t *cluster, const GArray *results)
{
	GHashTable *arrivals = cluster_arrivals(cluster);

	for (guint i = 0; i < results->len; i++) {
		const load_result_t *result =
		    &g_array_index(results, load_result_t, i);

		ck_assert_msg(strcmp(result->ran, "not_run") != 0 ||
				  arrivals_of(arrivals, result->marker) == 0,
		    "%s: %ld %s not_run, but a target recorded it",
		    result->marker, result->status, result->code);
	}
	g_hash_table_destroy(arrivals);
}

void
cluster_case_add(Suite *suite, const char *name, SFun setup, SFun teardown,
    const TTest *const *tests, size_t n)
{
	TCase *tcase = tcase_create(name);

	tcase_add_unchecked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, CASE_TIMEOUT_S);
	for (size_t i = 0; i < n; i++)
		tcase_add_test(tcase, tests[i]);
	suite_add_tcase(suite, tcase);
}

long
cluster_probe(cluster_t *cluster, node_t node, const char *key)
{
	answer_t *answer = http_call(node_url(cluster, node, GENERATE), key,
	    NULL, "{\"prompt\":\"probe\",\"max_tokens\":1}");
	long status = answer->status;

	answer_free(answer);
	return status;
}

double
cluster_withdrawal(cluster_t *cluster, void (*set)(bool withdrawn))
{
	static const char body[] =
	    "{\"prompt\":\"long\",\"max_tokens\":4000,\"stream\":true}";
	http_task_t *tasks[NODE_INSTANCES];
	gint64 published_at;
	double slowest = 0;

	for (int node = 0; node < NODE_INSTANCES; node++) {
		WAIT_UNTIL(
		    cluster_probe(cluster, (node_t)node, DESK_KEY) == 200);
		tasks[node] =
		    http_start(node_url(cluster, (node_t)node, GENERATE),
			DESK_KEY, NULL, body);
	}
	for (int node = 0; node < NODE_INSTANCES; node++)
		WAIT_UNTIL(http_task_bytes(tasks[node]) > 200);
	published_at = g_get_monotonic_time();
	set(true);
	for (int node = 0; node < NODE_INSTANCES; node++) {
		answer_t *answer = http_join(tasks[node]);

		ck_assert_ptr_nonnull(
		    strstr(answer->body->str, "key_withdrawn"));
		slowest = MAX(slowest,
		    (double)(answer->last_byte_at - published_at) / 1e6);
		answer_free(answer);
		ck_assert_int_eq(
		    cluster_probe(cluster, (node_t)node, DESK_KEY), 401);
	}
	return slowest;
}
