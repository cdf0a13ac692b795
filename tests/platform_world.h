#ifndef TESTS_PLATFORM_WORLD_H
#define TESTS_PLATFORM_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#include "fake_store.h"
#include "fake_worker.h"

/*
 * Instances as separate processes beside a stand-in store and stand-in targets.
 * Each instance has a loopback address of its own, as the platform gives it.
 */
#define WORLD_INSTANCES 4
#define WORLD_WORKERS 3	      /* at the start */
#define WORLD_WORKERS_LIMIT 8 /* with those that a test adds */

typedef struct {
	char *folder;
	uint8_t net[2];	   /* second and third byte of the addresses */
	uint16_t ports[5]; /* callers, health, directory, peer, metrics */
	fake_store_t *store;
	uint16_t store_port;
	uint16_t dead_port; /* nobody listens */
	int n_workers;
	fake_worker_t *workers[WORLD_WORKERS_LIMIT];
	uint16_t worker_ports[WORLD_WORKERS_LIMIT];
	pid_t pids[WORLD_INSTANCES]; /* 0: not running */
	unsigned descriptor_limit;   /* in the settings; 0: default */
	uint16_t silent_port;	     /* see world_cut(); 0: not used yet */
	int silent_fds[4];
} world_t;

typedef enum {
	PORT_CALLERS,
	PORT_HEALTH,
	PORT_DIRECTORY,
	PORT_PEER,
	PORT_METRICS
} world_port_t;

typedef struct {
	int status; /* 0: the connection ended without a whole answer */
	char *head;
	char *body;
	bool whole;
} world_answer_t;

/* Starts the store with a configuration and the targets w0, w1, w2 of the
 * services "pen" (w0, w1) and "desk" (w2), all in zone a-1. */
void world_create(world_t *world);
void world_destroy(world_t *world);

/* Publishes the configuration with this version. extra: further routes. */
void world_configure(
    world_t *world, int version, const char *key, const char *extra);
/* The same with this limit for bodies of requests, and key-1. */
void world_configure_body(world_t *world, int version, int max_body_bytes);
/* The same with this idle timeout for callers, and key-1. */
void world_configure_limits(world_t *world, int version, int idle_timeout_ms);
/* Adds a target of the service "pen". */
void world_add_worker(world_t *world);
void world_publish_worker(world_t *world, int worker, const char *state);
/* state NULL: removes it. */
void world_publish_version(
    world_t *world, int worker, const char *state, const char *version);

/*
 * zone: "a-1" or "b-1". Waits until the instance is ready when wait is set.
 * Instance 0 is of the build in CYCLAMENSAIL_BUILD_0, if that is set: by hand,
 * two builds side by side.
 */
void world_start(world_t *world, int instance, const char *zone,
    bool store_reachable, bool wait);
/*
 * The same for zone "a-1", ready, with a stall of STALL_MS in the iteration of
 * the event loop that reads a request with the field X-Stall.
 */
#define STALL_MS 1200
void world_start_stalling(world_t *world, int instance);
/* How an instance's new connections to targets fail. */
typedef enum {
	CUT_NONE,
	CUT_SILENT,  /* they are never established */
	CUT_REFUSED, /* at once */
} world_cut_t;

/* Starts an instance, ready, whose targets world_cut() takes away. */
void world_start_cuttable(world_t *world, int instance, const char *zone);
void world_cut(world_t *world, int instance, world_cut_t cut);

void world_signal(world_t *world, int instance, int signal);
/* Waits for the process to end. Returns its exit status, or -1. */
int world_wait_end(world_t *world, int instance, int timeout_ms);

/* The instance's address, host byte order. */
uint32_t world_ip(const world_t *world, int instance);

int world_connect(const world_t *world, int instance, world_port_t port);
/* Connects a socket that the test has made. */
bool world_connect_socket(
    const world_t *world, int instance, world_port_t port, int fd);
/* Sends bytes as they are. */
void world_send(int fd, const char *text);
/* Reads one answer; fd stays open. */
world_answer_t world_read(int fd);
void world_answer_clear(world_answer_t *answer);

/* One request on its own connection. fields are whole lines. */
world_answer_t world_call(const world_t *world, int instance,
    const char *method, const char *path, const char *id, const char *fields,
    const char *body);
world_answer_t world_get(
    const world_t *world, int instance, world_port_t port, const char *path);

/* Status of a GET with key-1. */
int world_status(const world_t *world, int instance, const char *path);
bool world_is_ready(const world_t *world, int instance);
/* name: with its label and the blank before the value. */
size_t world_gauge(const world_t *world, int instance, const char *name);

/* Asserts that condition becomes true within timeout_ms. */
#define WORLD_WAIT(condition, timeout_ms)                              \
	do {                                                           \
		gint64 until = g_get_monotonic_time() +                \
			       (timeout_ms)*G_GINT64_CONSTANT(1000);   \
		while (!(condition) && g_get_monotonic_time() < until) \
			g_usleep(20000);                               \
		ck_assert(condition);                                  \
	} while (0)

#define WORLD_KEY "Authorization: Bearer key-1\r\nRequest-Deadline: 8000\r\n"

#endif
