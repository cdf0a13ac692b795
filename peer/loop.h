#ifndef PEER_LOOP_H
#define PEER_LOOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/types.h"
#include "peer/client.h"

/*
 * Thread that waits for the sockets and deadlines of many items (clients) with
 * epoll(7), and a worker for what takes long. An item is used by one of the two
 * threads at a time; functions below are for that thread unless they say
 * otherwise.
 */

typedef struct loop_item loop_item_t;

/* All run on the loop's thread, except for on_work, and none may block. */
typedef struct {
	void (*on_ready)(loop_item_t *item); /* after loop_announce */
	void (*on_socket)(loop_item_t *item);
	void (*on_deadline)(loop_item_t *item);
	void (*on_work)(loop_item_t *item); /* on the worker */
} loop_handlers_t;

struct loop_item {
	const loop_handlers_t *handlers;
	int fd; /* watched; -1: none */
	uint32_t events;
	time_us_t deadline; /* 0: none */
	GList timed;	    /* node in the list of items with a deadline */
	GList ready;	    /* node in the list of announced items */
	GList work;	    /* node in the worker's list */
	bool announced;	    /* guarded by the lock, like the two lists */
};

void loop_item_init(loop_item_t *item, const loop_handlers_t *handlers);

/* The lock also guards what items share with other threads. Any thread. */
void loop_lock(peer_loop_t *loop);
void loop_unlock(peer_loop_t *loop);

/* Has on_ready called soon, once. Any thread; the lock is held. */
void loop_announce(peer_loop_t *loop, loop_item_t *item);

/* Takes an item out for good and wakes loop_wait_end. The lock is held. */
void loop_end(peer_loop_t *loop, loop_item_t *item);

/* Waits for a call of loop_end. Other threads; the lock is held. */
void loop_wait_end(peer_loop_t *loop);

/* Watches fd for events (EPOLLIN or EPOLLOUT). Returns false and sets errno
 * when the kernel has no room for it. */
bool loop_watch(peer_loop_t *loop, loop_item_t *item, int fd, uint32_t events);
void loop_unwatch(peer_loop_t *loop, loop_item_t *item);

/* 0: none. */
void loop_set_deadline(
    peer_loop_t *loop, loop_item_t *item, time_us_t deadline);

/* Has on_work called on the worker. Until that announces the item, the loop's
 * thread must leave alone what on_work uses. */
void loop_work(peer_loop_t *loop, loop_item_t *item);

#endif
