#include "loop.h"

#include <errno.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/thread.h"

/* Above the number of peers (399 planned), so that after a pause of the process
 * all waiting replies are read before any deadline is looked at. */
#define EVENT_LIMIT 512

struct peer_loop {
	pthread_t thread;
	pthread_t worker;
	int epoll;
	int wake; /* eventfd, written when the thread may sleep */
	pthread_mutex_t lock;
	pthread_cond_t ended;
	pthread_cond_t work_added;
	GQueue ready; /* announced items */
	GQueue work;  /* items for the worker */
	bool stopping;
	bool work_stopping;
	GQueue timed; /* items with a deadline; the thread's */
};

void
loop_item_init(loop_item_t *item, const loop_handlers_t *handlers)
{
	item->handlers = handlers;
	item->fd = -1;
	item->timed.data = item;
	item->ready.data = item;
	item->work.data = item;
}

void
loop_lock(peer_loop_t *loop)
{
	pthread_mutex_lock(&loop->lock);
}

void
loop_unlock(peer_loop_t *loop)
{
	pthread_mutex_unlock(&loop->lock);
}

static void
loop_wake(peer_loop_t *loop)
{
	const uint64_t one = 1;
	ssize_t n;

	do {
		n = write(loop->wake, &one, sizeof(one));
	} while (n < 0 && errno == EINTR);
}

void
loop_announce(peer_loop_t *loop, loop_item_t *item)
{
	if (item->announced)
		return;
	item->announced = true;
	g_queue_push_tail_link(&loop->ready, &item->ready);
	/* The thread looks at the list before it sleeps. */
	if (loop->ready.length == 1 &&
	    !pthread_equal(pthread_self(), loop->thread))
		loop_wake(loop);
}

void
loop_end(peer_loop_t *loop, loop_item_t *item)
{
	if (item->announced)
		g_queue_unlink(&loop->ready, &item->ready);
	item->announced = false;
	pthread_cond_broadcast(&loop->ended);
}

void
loop_wait_end(peer_loop_t *loop)
{
	pthread_cond_wait(&loop->ended, &loop->lock);
}

bool
loop_watch(peer_loop_t *loop, loop_item_t *item, int fd, uint32_t events)
{
	struct epoll_event event = {.events = events, .data.ptr = item};
	int action = item->fd == fd ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;

	if (item->fd == fd && item->events == events)
		return true;
	if (epoll_ctl(loop->epoll, action, fd, &event) != 0)
		return false;
	item->fd = fd;
	item->events = events;
	return true;
}

void
loop_unwatch(peer_loop_t *loop, loop_item_t *item)
{
	if (item->fd >= 0)
		epoll_ctl(loop->epoll, EPOLL_CTL_DEL, item->fd, NULL);
	item->fd = -1;
}

void
loop_set_deadline(peer_loop_t *loop, loop_item_t *item, time_us_t deadline)
{
	if (item->deadline != 0 && deadline == 0)
		g_queue_unlink(&loop->timed, &item->timed);
	if (item->deadline == 0 && deadline != 0)
		g_queue_push_tail_link(&loop->timed, &item->timed);
	item->deadline = deadline;
}

void
loop_work(peer_loop_t *loop, loop_item_t *item)
{
	pthread_mutex_lock(&loop->lock);
	g_queue_push_tail_link(&loop->work, &item->work);
	pthread_cond_signal(&loop->work_added);
	pthread_mutex_unlock(&loop->lock);
}

static void *
worker_run(void *arg)
{
	peer_loop_t *loop = arg;

	pthread_mutex_lock(&loop->lock);
	while (!loop->work_stopping) {
		GList *node = g_queue_pop_head_link(&loop->work);
		loop_item_t *item;

		if (node == NULL) {
			pthread_cond_wait(&loop->work_added, &loop->lock);
			continue;
		}
		item = node->data;
		pthread_mutex_unlock(&loop->lock);
		item->handlers->on_work(item);
		pthread_mutex_lock(&loop->lock);
	}
	pthread_mutex_unlock(&loop->lock);
	return NULL;
}

static void
worker_end(peer_loop_t *loop)
{
	pthread_mutex_lock(&loop->lock);
	loop->work_stopping = true;
	pthread_cond_signal(&loop->work_added);
	pthread_mutex_unlock(&loop->lock);
	pthread_join(loop->worker, NULL);
}

/* Returns the milliseconds until the next deadline, or -1 for none. */
static int
loop_timeout(peer_loop_t *loop)
{
	time_us_t next = INT64_MAX;
	time_us_t now;
	bool ready;

	pthread_mutex_lock(&loop->lock);
	ready = loop->ready.length > 0 || loop->stopping;
	pthread_mutex_unlock(&loop->lock);
	if (ready)
		return 0;
	for (const GList *node = loop->timed.head; node; node = node->next)
		next = MIN(next, ((const loop_item_t *)node->data)->deadline);
	if (next == INT64_MAX)
		return -1;
	now = clock_now();
	return next <= now ? 0 : (int)((next - now) / US_PER_MS + 1);
}

static void
loop_expire(peer_loop_t *loop)
{
	time_us_t now = clock_now();
	GList *next;

	for (GList *node = loop->timed.head; node != NULL; node = next) {
		loop_item_t *item = node->data;

		next = node->next;
		if (item->deadline <= now)
			item->handlers->on_deadline(item);
	}
}

/* Serves the items that are announced now; those they announce come after the
 * sockets, so that one busy item holds up no other. */
static bool
loop_serve_ready(peer_loop_t *loop)
{
	guint left;
	bool stopping;

	pthread_mutex_lock(&loop->lock);
	for (left = loop->ready.length; left > 0; left--) {
		GList *node = g_queue_pop_head_link(&loop->ready);
		loop_item_t *item;

		if (node == NULL)
			break;
		item = node->data;
		item->announced = false;
		pthread_mutex_unlock(&loop->lock);
		item->handlers->on_ready(item);
		pthread_mutex_lock(&loop->lock);
	}
	stopping = loop->stopping;
	pthread_mutex_unlock(&loop->lock);
	return !stopping;
}

static void *
loop_run(void *arg)
{
	peer_loop_t *loop = arg;
	struct epoll_event events[EVENT_LIMIT];
	uint64_t count;

	do {
		int n = epoll_wait(
		    loop->epoll, events, EVENT_LIMIT, loop_timeout(loop));

		for (int i = 0; i < n; i++) {
			loop_item_t *item = events[i].data.ptr;

			if (item != NULL)
				item->handlers->on_socket(item);
			else if (read(loop->wake, &count, sizeof(count)) < 0)
				continue;
		}
		if (n < EVENT_LIMIT)
			loop_expire(loop);
	} while (loop_serve_ready(loop));
	return NULL;
}

static int
loop_start(peer_loop_t *loop)
{
	struct epoll_event event = {.events = EPOLLIN};
	int failed;

	loop->epoll = epoll_create1(EPOLL_CLOEXEC);
	loop->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->epoll < 0 || loop->wake < 0 ||
	    epoll_ctl(loop->epoll, EPOLL_CTL_ADD, loop->wake, &event) != 0)
		return errno;
	failed = thread_start(&loop->worker, worker_run, loop);
	if (failed != 0)
		return failed;
	failed = thread_start(&loop->thread, loop_run, loop);
	if (failed != 0)
		worker_end(loop);
	return failed;
}

static void
loop_free(peer_loop_t *loop)
{
	if (loop->epoll >= 0)
		close(loop->epoll);
	if (loop->wake >= 0)
		close(loop->wake);
	pthread_mutex_destroy(&loop->lock);
	pthread_cond_destroy(&loop->ended);
	pthread_cond_destroy(&loop->work_added);
	g_free(loop);
}

peer_loop_t *
peer_loop_create(GError **error)
{
	peer_loop_t *loop = g_new0(peer_loop_t, 1);
	int failed;

	loop->epoll = loop->wake = -1;
	pthread_mutex_init(&loop->lock, NULL);
	pthread_cond_init(&loop->ended, NULL);
	pthread_cond_init(&loop->work_added, NULL);
	failed = loop_start(loop);
	if (failed == 0)
		return loop;
	g_set_error(error, CS_ERROR, CS_ERROR_IO,
	    "can't start the peer clients: %s; raise the limits of the process",
	    g_strerror(failed));
	loop_free(loop);
	return NULL;
}

void
peer_loop_destroy(peer_loop_t *loop)
{
	if (loop == NULL)
		return;
	pthread_mutex_lock(&loop->lock);
	loop->stopping = true;
	pthread_mutex_unlock(&loop->lock);
	loop_wake(loop);
	pthread_join(loop->thread, NULL);
	worker_end(loop);
	loop_free(loop);
}
