#ifndef COMMON_THREAD_H
#define COMMON_THREAD_H

#include <pthread.h>
#include <signal.h>

/*
 * Starts a thread with all signals blocked. Signals are then delivered to the
 * main thread, and a library that writes to a closed socket without
 * MSG_NOSIGNAL can't kill the process with SIGPIPE. Returns 0 or an error
 * number, like pthread_create(3).
 */
static inline int
thread_start(pthread_t *thread, void *(*run)(void *), void *arg)
{
	sigset_t all, previous;
	int error;

	sigfillset(&all);
	pthread_sigmask(SIG_SETMASK, &all, &previous);
	error = pthread_create(thread, NULL, run, arg);
	pthread_sigmask(SIG_SETMASK, &previous, NULL);
	return error;
}

#endif
