#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "core/targets.h"
#include "platform_world.h"
#include "test.h"

/*
 * An instance beside one of the build before notices told of departures, which
 * the test plays: it has the address of instance 0, the seed.
 */

#define SEED 0
#define INSTANCE 1
#define MESSAGE_BYTES 8192
#define DATAGRAM_TIMEOUT_MS 1500

/* As that build reads messages. Counts above the limits make it drop one. */
#define BEFORE_VERSION 0x43530005
#define BEFORE_KINDS 4
#define BEFORE_MEMBERS 28
#define BEFORE_LOADS 128
#define BEFORE_DEMANDS 64
#define BEFORE_CAPACITIES 16
#define BEFORE_REPORTS 8
#define BEFORE_CRASHES 6
#define BEFORE_NOTICES 32
#define BEFORE_NOTICE_KINDS 5
#define BEFORE_RECORDS 48
#define BEFORE_PACES 24
#define BEFORE_VERSION_DIGITS 64

/* Words of each entry. */
#define MEMBER_WORDS 7
#define LOAD_WORDS 2
#define DEMAND_WORDS 2
#define CAPACITY_WORDS 3
#define REPORT_WORDS 6 /* without its crashes */
#define CRASH_WORDS 3
#define NOTICE_WORDS 5
#define RECORD_WORDS 4
#define QUERY_WORDS 4
#define PACE_WORDS 2

typedef struct {
	const uint8_t *at;
	size_t left; /* words */
} reader_t;

static uint32_t
word_read(reader_t *reader)
{
	uint32_t word;

	ck_assert_uint_gt(reader->left, 0);
	memcpy(&word, reader->at, sizeof(word));
	reader->at += sizeof(word);
	reader->left--;
	return ntohl(word);
}

static void
words_skip(reader_t *reader, size_t n)
{
	ck_assert_uint_le(n, reader->left);
	reader->at += n * sizeof(uint32_t);
	reader->left -= n;
}

/* Skips a list of entries of this size. Returns their number. */
static uint32_t
list_skip(reader_t *reader, uint32_t limit, size_t words)
{
	uint32_t n = word_read(reader);

	ck_assert_uint_le(n, limit);
	words_skip(reader, n * words);
	return n;
}

static void
reports_skip(reader_t *reader)
{
	uint32_t n = word_read(reader);

	ck_assert_uint_le(n, BEFORE_REPORTS);
	for (uint32_t i = 0; i < n; i++) {
		words_skip(reader, REPORT_WORDS);
		list_skip(reader, BEFORE_CRASHES, CRASH_WORDS);
	}
}

/* Reads a message to its end. Returns how many notices are of unknown kinds. */
static unsigned
message_read_as_before(const uint8_t *bytes, size_t len)
{
	reader_t reader = {bytes, len / sizeof(uint32_t)};
	unsigned n_unknown = 0;
	uint32_t n_notices;

	ck_assert_uint_eq(len % sizeof(uint32_t), 0);
	ck_assert_uint_eq(word_read(&reader), BEFORE_VERSION);
	list_skip(&reader, BEFORE_MEMBERS, MEMBER_WORDS);
	words_skip(&reader, 4); /* configuration version, store revision */
	ck_assert_uint_lt(word_read(&reader), BEFORE_KINDS);
	words_skip(&reader, 1); /* instances */
	list_skip(&reader, BEFORE_LOADS, LOAD_WORDS);
	list_skip(&reader, BEFORE_DEMANDS, DEMAND_WORDS);
	list_skip(&reader, BEFORE_CAPACITIES, CAPACITY_WORDS);
	if (reader.left == 0)
		return 0;
	reports_skip(&reader);
	if (reader.left == 0)
		return 0;
	n_notices = word_read(&reader);
	ck_assert_uint_le(n_notices, BEFORE_NOTICES);
	for (uint32_t i = 0; i < n_notices; i++) {
		words_skip(&reader, 2);
		n_unknown += word_read(&reader) >= BEFORE_NOTICE_KINDS;
		words_skip(&reader, NOTICE_WORDS - 3);
	}
	if (reader.left > 0)
		words_skip(&reader, 2); /* era */
	if (reader.left > 0)
		list_skip(&reader, BEFORE_RECORDS, RECORD_WORDS);
	if (reader.left > 0)
		words_skip(&reader, QUERY_WORDS);
	if (reader.left > 0)
		list_skip(&reader, BEFORE_PACES, PACE_WORDS);
	ck_assert_uint_eq(reader.left, 0);
	return n_unknown;
}

static struct sockaddr_in
peer_address(const world_t *world, int instance)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(world->ports[PORT_PEER]),
	    .sin_addr.s_addr = htonl(world_ip(world, instance))};
}

static int
seed_open(const world_t *world)
{
	struct sockaddr_in address = peer_address(world, SEED);
	struct timeval timeout = {.tv_sec = DATAGRAM_TIMEOUT_MS / 1000,
	    .tv_usec = (suseconds_t)DATAGRAM_TIMEOUT_MS % 1000 * 1000};
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	ck_assert_int_eq(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	return fd;
}

/* A newer build's news must not cost an older one the rest of the message. */
TEST(messages_with_departures_are_read_by_the_build_before)
{
	uint8_t bytes[MESSAGE_BYTES];
	unsigned n_unknown = 0;
	world_t world;
	int fd;

	world_create(&world);
	fd = seed_open(&world);
	world_start(&world, INSTANCE, "a-1", true, true);
	world_publish_worker(&world, 0, "draining");
	world_publish_worker(&world, 1, NULL);
	for (int i = 0; i < 12; i++) {
		ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

		ck_assert_int_gt(n, 0);
		n_unknown += message_read_as_before(bytes, (size_t)n);
	}
	ck_assert_uint_ge(n_unknown, 2);
	close(fd);
	world_destroy(&world);
}

/*
 * A message of that build as it was received, with notices that the targets w0
 * and w1 accept one request a second.
 */
static const char message_before[] =
    "43530005000000017f6fc80200000000000000010006621213180f6e00000006"
    "0000000000000000000000030000000000000068000000030000000100000000"
    "000000000000000237d9718200000000000f4240688b10250000000800000023"
    "0000000000000002d34fccaf64db792e0000000100000000000003e8294765aa"
    "64db792e0000000100000000000003e80000000000000001";
#define MESSAGE_IP_AT 8 /* address of its sender */

static size_t
message_decode(uint8_t *bytes)
{
	size_t len = (sizeof(message_before) - 1) / 2;

	for (size_t i = 0; i < len; i++) {
		unsigned byte;

		ck_assert_int_eq(
		    sscanf(&message_before[2 * i], "%2x", &byte), 1);
		bytes[i] = (uint8_t)byte;
	}
	return len;
}

static bool
metrics_have(const world_t *world, const char *line)
{
	world_answer_t answer =
	    world_get(world, INSTANCE, PORT_METRICS, "/metrics");
	bool found = answer.body != NULL && strstr(answer.body, line) != NULL;

	world_answer_clear(&answer);
	return found;
}

TEST(messages_of_the_build_before_are_read)
{
	struct sockaddr_in to;
	uint8_t bytes[MESSAGE_BYTES];
	size_t len = message_decode(bytes);
	uint32_t ip;
	world_t world;
	int fd;

	world_create(&world);
	fd = seed_open(&world);
	world_start(&world, INSTANCE, "a-1", true, true);
	ip = htonl(world_ip(&world, SEED));
	memcpy(&bytes[MESSAGE_IP_AT], &ip, sizeof(ip));
	to = peer_address(&world, INSTANCE);
	ck_assert_int_eq(
	    sendto(fd, bytes, len, 0, (struct sockaddr *)&to, sizeof(to)),
	    (ssize_t)len);
	WORLD_WAIT(
	    metrics_have(&world, "target_notices{source=\"instance\"} 2\n"),
	    3000);
	ck_assert(!metrics_have(&world, "peer_messages_unreadable"));
	close(fd);
	world_destroy(&world);
}

TEST_MAIN("process_upgrade")
