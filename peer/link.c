#include "link.h"

#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "address.h"
#include "common/error.h"
#include "generated/peer.h"
#include "peer/client.h"
#include "traffic.h"

/* A challenge is repeated only when the peer dropped a window meanwhile. */
#define CHALLENGE_LIMIT 3

struct link {
	char *address_text;
	struct sockaddr_storage address;
	socklen_t address_len;
	peer_sender_t self;
	envelope_keys_t keys;
	uint64_t session; /* kept over connections */
	CLIENT *rpc;
	pthread_mutex_t lock; /* of fd and broken */
	int fd;
	bool broken;
	traffic_t traffic; /* of the socket, as far as counted */
};

/* One count for the process, so that clients of the same peer differ. */
static uint64_t link_sequence;

link_t *
link_create(const char *address, const peer_sender_t *self,
    const envelope_keys_t *keys, GError **error)
{
	link_t *link = g_new0(link_t, 1);

	if (!address_parse(
		address, &link->address, &link->address_len, error)) {
		g_free(link);
		return NULL;
	}
	link->address_text = g_strdup(address);
	link->self = *self;
	link->keys = *keys;
	link->fd = -1;
	pthread_mutex_init(&link->lock, NULL);
	return link;
}

void
link_destroy(link_t *link)
{
	link_close(link);
	pthread_mutex_destroy(&link->lock);
	sodium_memzero(&link->keys, sizeof(link->keys));
	g_free(link->address_text);
	g_free(link);
}

void
link_close(link_t *link)
{
	int fd;

	if (link->rpc != NULL) {
		auth_destroy(link->rpc->cl_auth);
		clnt_destroy(link->rpc);
		link->rpc = NULL;
	}
	pthread_mutex_lock(&link->lock);
	fd = link->fd;
	link->fd = -1;
	pthread_mutex_unlock(&link->lock);
	if (fd >= 0)
		close(fd);
}

void
link_break(link_t *link)
{
	pthread_mutex_lock(&link->lock);
	link->broken = true;
	if (link->fd >= 0)
		shutdown(link->fd, SHUT_RDWR);
	pthread_mutex_unlock(&link->lock);
}

static bool
link_is_broken(link_t *link)
{
	bool broken;

	pthread_mutex_lock(&link->lock);
	broken = link->broken;
	pthread_mutex_unlock(&link->lock);
	return broken;
}

bool
link_is_open(link_t *link)
{
	struct pollfd pfd = {link->fd, POLLIN | POLLRDHUP, 0};

	if (link->rpc == NULL)
		return false;
	/* Between calls the peer sends nothing; what comes is an end. */
	if (poll(&pfd, 1, 0) == 0)
		return true;
	link_close(link);
	return false;
}

static bool
socket_connect(link_t *link, int fd)
{
	struct pollfd pfd = {fd, POLLOUT, 0};
	int failed = 0;
	socklen_t len = sizeof(failed);

	if (connect(fd, (struct sockaddr *)&link->address, link->address_len) ==
	    0)
		return true;
	if (errno != EINPROGRESS)
		return false;
	if (poll(&pfd, 1, PEER_TIMEOUT_S * 1000) <= 0) {
		errno = ETIMEDOUT;
		return false;
	}
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &len);
	errno = failed;
	return failed == 0;
}

/* libtirpc writes without a time limit unless the socket has one. */
static bool
socket_prepare(int fd)
{
	const struct timeval limit = {.tv_sec = PEER_TIMEOUT_S};
	const int on = 1;
	int flags = fcntl(fd, F_GETFL);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return flags >= 0 && fcntl(fd, F_SETFL, flags & ~O_NONBLOCK) == 0 &&
	       setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit)) ==
		   0;
}

static bool
link_register(link_t *link, int fd)
{
	bool broken;

	pthread_mutex_lock(&link->lock);
	broken = link->broken;
	if (!broken)
		link->fd = fd;
	pthread_mutex_unlock(&link->lock);
	if (broken) {
		close(fd);
		errno = ECANCELED;
	}
	return !broken;
}

bool
link_open(link_t *link, GError **error)
{
	struct netbuf address = {.maxlen = link->address_len,
	    .len = link->address_len,
	    .buf = &link->address};
	int fd = socket(link->address.ss_family,
	    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	memset(&link->traffic, 0, sizeof(link->traffic));
	if (fd >= 0 && link_register(link, fd) && socket_connect(link, fd) &&
	    socket_prepare(fd)) {
		link->rpc = clnt_vc_create(
		    fd, &address, PEER_PROGRAM, PEER_VERSION, 0, 0);
		if (link->rpc != NULL)
			return true;
	}
	g_set_error(error, CS_ERROR,
	    errno == ETIMEDOUT ? CS_ERROR_TIMEOUT : CS_ERROR_IO,
	    "can't connect to peer %s: %s; check that it runs and is reachable",
	    link->address_text, g_strerror(errno));
	link_close(link);
	return false;
}

static void
link_error(const link_t *link, enum clnt_stat status, GError **error)
{
	cs_error_t code = CS_ERROR_IO;
	const char *remedy = "try again later or ask another peer";

	if (status == RPC_TIMEDOUT) {
		code = CS_ERROR_TIMEOUT;
	} else if (status == RPC_AUTHERROR) {
		code = CS_ERROR_AUTH;
		remedy = "give both instances the same fleet secret";
	} else if (status == RPC_CANTDECODEARGS ||
		   status == RPC_PROGVERSMISMATCH ||
		   status == RPC_CANTDECODERES) {
		code = CS_ERROR_SYNTAX;
		remedy = "run the same version of the program on both";
	}
	g_set_error(error, CS_ERROR, code, "call to peer %s failed: %s; %s",
	    link->address_text, clnt_sperrno(status), remedy);
}

/* Sends one sealed call. On success the caller frees *reply with xdr_free. */
static bool
link_send(link_t *link, uint32_t procedure, peer_call *call, peer_reply *reply,
    GError **error)
{
	const struct timeval limit = {.tv_sec = PEER_TIMEOUT_S};
	enum clnt_stat status;

	call->sequence = ck_pr_faa_64(&link_sequence, 1) + 1;
	call->time_us = g_get_real_time();
	call->session = link->session;
	envelope_seal_call(&link->keys, procedure, call);
	memset(reply, 0, sizeof(*reply));
	status = clnt_call(link->rpc, procedure, (xdrproc_t)xdr_peer_call,
	    (char *)call, (xdrproc_t)xdr_peer_reply, (char *)reply, limit);
	/* Not at the close: the kernel counts the peer's FIN as a byte. */
	traffic_update(&link->traffic, link->fd);
	if (status != RPC_SUCCESS) {
		xdr_free((xdrproc_t)xdr_peer_reply, reply);
		link_error(link, status, error);
		return false;
	}
	if (reply->sequence == call->sequence &&
	    peer_name_valid(reply->sender) && reply->incarnation != 0 &&
	    envelope_check_reply(&link->keys, procedure, call, reply, NULL))
		return true;
	xdr_free((xdrproc_t)xdr_peer_reply, reply);
	g_set_error(error, CS_ERROR, CS_ERROR_AUTH,
	    "reply of peer %s is not authentic; give both instances the same "
	    "fleet secret",
	    link->address_text);
	return false;
}

GBytes *
link_call(link_t *link, uint32_t procedure, GBytes *body, peer_sender_t *from,
    GError **error)
{
	size_t len;
	const void *data = g_bytes_get_data(body, &len);
	peer_call call = {.sender = link->self.name,
	    .incarnation = link->self.incarnation,
	    .body = {(u_int)len, (char *)data}};
	peer_reply reply;

	for (int i = 0; i < CHALLENGE_LIMIT && !link_is_broken(link); i++) {
		GBytes *result = NULL;
		bool done;

		if (!link_send(link, procedure, &call, &reply, error))
			return NULL;
		link->session = reply.session;
		done = reply.status == PEER_STATUS_DONE;
		if (done) {
			g_strlcpy(from->name, reply.sender, sizeof(from->name));
			from->incarnation = reply.incarnation;
			result = g_bytes_new(
			    reply.body.body_val, reply.body.body_len);
		}
		xdr_free((xdrproc_t)xdr_peer_reply, &reply);
		if (done)
			return result;
	}
	g_set_error(error, CS_ERROR, CS_ERROR_AUTH,
	    "peer %s doesn't accept its own session; try again later",
	    link->address_text);
	return NULL;
}
