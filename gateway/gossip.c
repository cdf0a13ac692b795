#include "internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"
#include "core/random.h"

/*
 * Gossip messages between instances, encoded in XDR and sent over UDP. Those of
 * a round carry the sender's view of the membership; to other regions also the
 * demand of teams in the sender's region and its capacity. Load reports carry
 * only the sender's own entry, with the load on targets and the demand of teams
 * that the sender or its zone causes (core/zone_load.h).
 */

#define MESSAGE_VERSION 0x43530005

/*
 * A message of this version is read up to the store revision. Its loads are
 * meant for another way of adding them.
 */
#define MESSAGE_VERSION_OLD 0x43530004
#define MESSAGE_BYTES 8192

/*
 * Maximum number of target loads in one message, so that it stays near 1,400
 * bytes.
 */
#define LOAD_LIMIT 128

/*
 * The three numbers of a load are packed into one word. Pending tokens and
 * event gaps (ms) are sent in these units.
 */
#define LOAD_FIELD_BITS 10
#define LOAD_FIELD_MAX ((1u << LOAD_FIELD_BITS) - 1)
#define LOAD_TOKENS_UNIT 64
#define LOAD_GAP_UNIT 4

/* Notices of targets in one message; further ones follow in the next. */
#define NOTICE_LIMIT 32

/* Records of streams in one message; further ones follow in the next. */
#define RECORD_LIMIT 48

/* Observations of paces in one message; the newest are sent. */
#define PACE_LIMIT 24
#define PACE_ZONE_LIMIT 12

/*
 * The numbers of an observation are packed into one word: tokens and percent in
 * these units, and ms.
 */
#define PACE_FIELD_BITS 12
#define PACE_FIELD_MAX ((1u << PACE_FIELD_BITS) - 1)
#define PACE_STATED_BITS 8
#define PACE_STATED_FIELD_MAX ((1u << PACE_STATED_BITS) - 1)
#define PACE_TOKENS_UNIT 8
#define PACE_STATED_UNIT 4

G_STATIC_ASSERT(PACE_TOLD_TOKENS_MAX <= PACE_FIELD_MAX * PACE_TOKENS_UNIT);
G_STATIC_ASSERT(PACE_TOLD_MS_MAX <= PACE_FIELD_MAX);
G_STATIC_ASSERT(
    PACE_STATED_MAX_PERCENT <= PACE_STATED_FIELD_MAX * PACE_STATED_UNIT);

/* Instances of each other zone that get records, and that are asked. */
#define RECORD_COPIES 2

/* Maximum number of queries that wait for the store's answer. */
#define DEFERRED_LIMIT 256

/* Maximum number of instances that receive the view in one round. */
#define PEER_LIMIT 32

/* Maximum number of datagrams read in one iteration of the event loop. */
#define READ_BATCH 32

typedef enum {
	MESSAGE_MEMBERS,  /* members only */
	MESSAGE_INSTANCE, /* load of the sender, for its zone */
	MESSAGE_ZONE,	  /* load of the sender's zone, for its region */
	MESSAGE_REGION,	  /* capacity of the sender's region, for others */
	MESSAGE_KIND_COUNT
} message_kind_t;

typedef struct {
	uint32_t version;
	uint32_t n_members;
	member_entry_t members[MEMBER_DIGEST_LIMIT];
	/* In 64 bits where it fits, otherwise at the end of the message. */
	char config_version[VERSION_DIGITS_MAX + 1];
	revision_t store_revision; /* newest revision read */
	uint32_t kind;		   /* message_kind_t */
	uint32_t n_instances;	   /* covered by the loads */
	uint32_t n_loads;
	target_load_t loads[LOAD_LIMIT];
	uint32_t n_demands;
	team_demand_t demands[TEAM_DEMAND_LIMIT];
	uint32_t n_capacities;
	service_capacity_t capacities[CAPACITY_LIMIT];
	/*
	 * At the end, for instances of versions without them; left out if there
	 * are none, and no later ones. The era of the revision follows the
	 * notices.
	 */
	uint32_t n_reports;
	quarantine_report_t reports[QUARANTINE_REPORT_LIMIT];
	uint32_t n_notices;
	target_notice_t notices[NOTICE_LIMIT];
	uint32_t n_records;
	stream_record_t records[RECORD_LIMIT];
	bool has_query;
	stream_query_t query; /* its id is 0 unless has_query */
	uint32_t n_paces;
	pace_observation_t paces[PACE_LIMIT];
} message_t;

/* A query that waits until the list of targets is known to be current. */
typedef struct {
	stream_query_t query;
	uint32_t ip;
	time_us_t at;
} deferred_query_t;

struct gossip {
	gateway_t *gateway;
	GArray *deferred; /* deferred_query_t */
	ev_io watcher;
	message_t message; /* buffer for encoding and decoding */
	uint32_t n_load_ticks;
	stream_record_t records[RECORD_LIMIT]; /* to be sent */
	uint32_t n_records;
	zone_sum_t zone_sums[TOPOLOGY_ZONE_LIMIT];
};

static bool
member_xdr(XDR *xdr, member_entry_t *entry)
{
	uint32_t zone = (uint32_t)entry->zone;
	uint32_t flags = (uint32_t)entry->ready |
			 (uint32_t)entry->leaving << 1 |
			 (uint32_t)entry->lost << 2;

	if (!xdr_uint32_t(xdr, &entry->ip) || !xdr_uint32_t(xdr, &zone) ||
	    !xdr_uint32_t(xdr, &flags) ||
	    !xdr_uint64_t(xdr, &entry->incarnation) ||
	    !xdr_uint32_t(xdr, &entry->heartbeat) ||
	    !xdr_uint32_t(xdr, &entry->age_ms) || zone >= TOPOLOGY_ZONE_LIMIT)
		return false;
	entry->zone = (int)zone;
	entry->ready = (flags & 1) != 0;
	entry->leaving = (flags & 2) != 0;
	entry->lost = (flags & 4) != 0;
	return true;
}

static bool
count_xdr(XDR *xdr, uint32_t *n, uint32_t limit)
{
	return xdr_uint32_t(xdr, n) && *n <= limit;
}

/* A load takes 8 bytes, as dozens of them are sent ten times a second. */
static bool
load_xdr(XDR *xdr, target_load_t *load)
{
	uint32_t packed =
	    MIN(load->in_flight, LOAD_FIELD_MAX) << 2 * LOAD_FIELD_BITS |
	    MIN(load->pending_tokens / LOAD_TOKENS_UNIT, LOAD_FIELD_MAX)
		<< LOAD_FIELD_BITS |
	    MIN(load->event_gap_ms / LOAD_GAP_UNIT, LOAD_FIELD_MAX);

	if (!xdr_uint32_t(xdr, &load->target) || !xdr_uint32_t(xdr, &packed))
		return false;
	load->in_flight = packed >> 2 * LOAD_FIELD_BITS & LOAD_FIELD_MAX;
	load->pending_tokens =
	    (packed >> LOAD_FIELD_BITS & LOAD_FIELD_MAX) * LOAD_TOKENS_UNIT;
	load->event_gap_ms = (packed & LOAD_FIELD_MAX) * LOAD_GAP_UNIT;
	return true;
}

static bool
report_xdr(XDR *xdr, quarantine_report_t *report)
{
	if (!xdr_uint64_t(xdr, &report->feature) ||
	    !xdr_int32_t(xdr, &report->answered_ms) ||
	    !xdr_int32_t(xdr, &report->held_ms) ||
	    !xdr_uint32_t(xdr, &report->n_failed) ||
	    !xdr_int32_t(xdr, &report->probe_ms) ||
	    !count_xdr(xdr, &report->n_crashes, QUARANTINE_TRUSTED_CRASHES))
		return false;
	for (uint32_t i = 0; i < report->n_crashes; i++) {
		if (!xdr_uint32_t(xdr, &report->crashes[i].request) ||
		    !xdr_uint32_t(xdr, &report->crashes[i].target) ||
		    !xdr_int32_t(xdr, &report->crashes[i].age_ms))
			return false;
	}
	return true;
}

static bool
reports_xdr(XDR *xdr, message_t *message)
{
	if (!count_xdr(xdr, &message->n_reports, QUARANTINE_REPORT_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_reports; i++) {
		if (!report_xdr(xdr, &message->reports[i]))
			return false;
	}
	return true;
}

static bool
notices_xdr(XDR *xdr, message_t *message)
{
	if (!count_xdr(xdr, &message->n_notices, NOTICE_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_notices; i++) {
		target_notice_t *notice = &message->notices[i];

		if (!xdr_uint32_t(xdr, &notice->target) ||
		    !xdr_uint32_t(xdr, &notice->start) ||
		    !xdr_uint32_t(xdr, &notice->kind) ||
		    !xdr_uint32_t(xdr, &notice->age_ms) ||
		    !xdr_uint32_t(xdr, &notice->value))
			return false;
	}
	return true;
}

/* The highest version that is told in 64 bits; see long_version_xdr(). */
#define SHORT_VERSION_MAX "18446744073709551615"

static bool
has_long_version(const message_t *message)
{
	return version_compare(message->config_version, SHORT_VERSION_MAX) > 0;
}

/* 0: none, or one that follows at the end of the message. */
static bool
short_version_xdr(XDR *xdr, message_t *message)
{
	uint64_t version =
	    xdr->x_op == XDR_DECODE || has_long_version(message)
		? 0
		: g_ascii_strtoull(message->config_version, NULL, 10);

	if (!xdr_uint64_t(xdr, &version))
		return false;
	if (xdr->x_op != XDR_DECODE)
		return true;
	if (version == 0)
		g_strlcpy(message->config_version, VERSION_NONE,
		    sizeof(message->config_version));
	else
		g_snprintf(message->config_version,
		    sizeof(message->config_version), "%" PRIu64, version);
	return true;
}

static bool
long_version_xdr(XDR *xdr, message_t *message)
{
	char *text = message->config_version;

	return xdr_string(xdr, &text, VERSION_DIGITS_MAX) &&
	       version_is_valid(message->config_version);
}

/* Encodes or decodes a message, depending on the mode of the XDR stream. */
static bool
message_xdr(XDR *xdr, message_t *message)
{
	if (!xdr_uint32_t(xdr, &message->version) ||
	    (message->version != MESSAGE_VERSION &&
		message->version != MESSAGE_VERSION_OLD) ||
	    !count_xdr(xdr, &message->n_members, MEMBER_DIGEST_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_members; i++) {
		if (!member_xdr(xdr, &message->members[i]))
			return false;
	}
	if (!short_version_xdr(xdr, message) ||
	    !xdr_int64_t(xdr, &message->store_revision.number))
		return false;
	if (message->version == MESSAGE_VERSION_OLD) {
		message->kind = MESSAGE_MEMBERS;
		return true;
	}
	if (!xdr_uint32_t(xdr, &message->kind) ||
	    message->kind >= MESSAGE_KIND_COUNT ||
	    !xdr_uint32_t(xdr, &message->n_instances) ||
	    !count_xdr(xdr, &message->n_loads, LOAD_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_loads; i++) {
		if (!load_xdr(xdr, &message->loads[i]))
			return false;
	}
	if (!count_xdr(xdr, &message->n_demands, TEAM_DEMAND_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_demands; i++) {
		if (!xdr_uint32_t(xdr, &message->demands[i].team) ||
		    !xdr_uint32_t(xdr, &message->demands[i].per_s))
			return false;
	}
	if (!count_xdr(xdr, &message->n_capacities, CAPACITY_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_capacities; i++) {
		service_capacity_t *capacity = &message->capacities[i];

		if (!xdr_uint32_t(xdr, &capacity->service) ||
		    !xdr_uint32_t(xdr, &capacity->room) ||
		    !xdr_uint32_t(xdr, &capacity->expected_ms))
			return false;
	}
	return true;
}

static uint32_t
capacities_fill(
    const gateway_t *gateway, service_capacity_t *capacities, time_us_t now)
{
	uint32_t n = 0;

	if (gateway->catalog == NULL)
		return 0;
	for (size_t i = 0;
	     i < catalog_n_services(gateway->catalog) && n < CAPACITY_LIMIT;
	     i++) {
		const catalog_service_t *service =
		    catalog_service(gateway->catalog, (int)i);
		const service_state_t *service_state =
		    g_hash_table_lookup(gateway->service_states, service->name);
		region_capacity_t capacity =
		    placement_capacity(gateway->targets, service, now);
		uint32_t waiting =
		    service_state ? queue_length(service_state->queue) : 0;

		capacities[n++] =
		    (service_capacity_t){target_short_id(service->name),
			waiting > 0 ? 0 : capacity.room,
			(uint32_t)MIN(capacity.expected_ms, 1e6)};
	}
	return n;
}

static void
paces_fill(const gateway_t *gateway, message_t *message,
    pace_audience_t audience, size_t limit)
{
	size_t n_dropped = 0;

	message->n_paces = (uint32_t)targets_export_paces(
	    gateway->targets, audience, message->paces, limit, &n_dropped);
	if (n_dropped > 0)
		counter_add(counter_get("pace_observations_dropped", "audience",
				audience == PACE_FOR_ZONE ? "zone" : "region"),
		    (int64_t)n_dropped);
}

/* Encodes the sender's view in at most n_members entries, its own first. */
static void
message_fill(const gateway_t *gateway, message_t *message, message_kind_t kind,
    size_t n_members, time_us_t now)
{
	message->version = MESSAGE_VERSION;
	message->n_members = (uint32_t)members_digest(
	    gateway->members, now, message->members, n_members);
	g_strlcpy(message->config_version, gateway_config_version(gateway),
	    sizeof(message->config_version));
	message->store_revision = store_told_revision(gateway->store);
	message->kind = kind;
	message->n_instances = 1;
	message->n_loads = 0;
	message->n_demands = 0;
	message->n_capacities = 0;
	message->n_records = 0;
	message->has_query = false;
	message->n_paces = 0;
	switch (kind) {
	case MESSAGE_INSTANCE:
		message->n_loads = (uint32_t)targets_own_load(
		    gateway->targets, message->loads, LOAD_LIMIT, now);
		message->n_demands = (uint32_t)team_rates_own_demand(
		    gateway->rates, message->demands, TEAM_DEMAND_LIMIT);
		paces_fill(gateway, message, PACE_FOR_ZONE, PACE_LIMIT);
		return;
	case MESSAGE_ZONE:
		message->n_loads = (uint32_t)targets_zone_load(gateway->targets,
		    message->loads, LOAD_LIMIT, &message->n_instances, now);
		message->n_demands = (uint32_t)team_rates_zone_demand(
		    gateway->rates, message->demands, TEAM_DEMAND_LIMIT, now);
		paces_fill(gateway, message, PACE_FOR_REGION, PACE_ZONE_LIMIT);
		return;
	case MESSAGE_REGION:
		message->n_demands = (uint32_t)team_rates_region_demand(
		    gateway->rates, message->demands, TEAM_DEMAND_LIMIT, now);
		message->n_capacities =
		    capacities_fill(gateway, message->capacities, now);
		return;
	case MESSAGE_MEMBERS:
	case MESSAGE_KIND_COUNT:
		return;
	}
}

static void
reports_fill(gateway_t *gateway, message_t *message, time_us_t now)
{
	message->n_reports = (uint32_t)quarantine_export(gateway->quarantine,
	    message->reports, QUARANTINE_REPORT_LIMIT, now);
}

static void
notices_fill(gateway_t *gateway, message_t *message, bool round, time_us_t now)
{
	message->n_notices = (uint32_t)targets_export_notices(
	    gateway->targets, message->notices, NOTICE_LIMIT, round, now);
}

static bool
records_xdr(XDR *xdr, message_t *message)
{
	if (!count_xdr(xdr, &message->n_records, RECORD_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_records; i++) {
		stream_record_t *record = &message->records[i];

		if (!xdr_uint64_t(xdr, &record->id) ||
		    !xdr_uint32_t(xdr, &record->service) ||
		    !xdr_uint32_t(xdr, &record->version))
			return false;
	}
	return true;
}

static bool
query_xdr(XDR *xdr, stream_query_t *query)
{
	return xdr_uint64_t(xdr, &query->id) &&
	       xdr_uint32_t(xdr, &query->service) &&
	       xdr_uint32_t(xdr, &query->life_ms);
}

/* An observation takes 8 bytes. */
static bool
pace_xdr(XDR *xdr, pace_observation_t *observation)
{
	uint32_t packed = observation->tokens / PACE_TOKENS_UNIT
			      << (PACE_FIELD_BITS + PACE_STATED_BITS) |
			  observation->ms << PACE_STATED_BITS |
			  observation->stated / PACE_STATED_UNIT;

	if (!xdr_uint32_t(xdr, &observation->target) ||
	    !xdr_uint32_t(xdr, &packed))
		return false;
	observation->tokens =
	    (packed >> (PACE_FIELD_BITS + PACE_STATED_BITS)) * PACE_TOKENS_UNIT;
	observation->ms = packed >> PACE_STATED_BITS & PACE_FIELD_MAX;
	observation->stated =
	    (packed & PACE_STATED_FIELD_MAX) * PACE_STATED_UNIT;
	return true;
}

static bool
paces_xdr(XDR *xdr, message_t *message)
{
	if (!count_xdr(xdr, &message->n_paces, PACE_LIMIT))
		return false;
	for (uint32_t i = 0; i < message->n_paces; i++) {
		if (!pace_xdr(xdr, &message->paces[i]))
			return false;
	}
	return true;
}

/* A query of no stream stands before paces where there is none. */
static bool
extensions_encode(XDR *xdr, message_t *message)
{
	static const stream_query_t no_query;
	bool has_version = has_long_version(message);
	bool has_paces = message->n_paces > 0 || has_version;
	bool has_query = message->has_query || has_paces;
	bool has_records = message->n_records > 0 || has_query;
	bool has_era = message->store_revision.era != 0 || has_records;
	bool has_notices = message->n_notices > 0 || has_era;
	bool has_reports = message->n_reports > 0 || has_notices;

	if (!message->has_query)
		message->query = no_query;
	return (!has_reports || reports_xdr(xdr, message)) &&
	       (!has_notices || notices_xdr(xdr, message)) &&
	       (!has_era || xdr_int64_t(xdr, &message->store_revision.era)) &&
	       (!has_records || records_xdr(xdr, message)) &&
	       (!has_query || query_xdr(xdr, &message->query)) &&
	       (!has_paces || paces_xdr(xdr, message)) &&
	       (!has_version || long_version_xdr(xdr, message));
}

/* What can't be read is left out: the message is of use without it. */
static void
extensions_decode(XDR *xdr, message_t *message, size_t len)
{
	message->n_reports = 0;
	message->n_notices = 0;
	message->store_revision.era = 0;
	message->n_records = 0;
	message->has_query = false;
	message->n_paces = 0;
	if (message->version != MESSAGE_VERSION || xdr_getpos(xdr) == len)
		return;
	if (!reports_xdr(xdr, message)) {
		message->n_reports = 0;
		return;
	}
	if (xdr_getpos(xdr) == len)
		return;
	if (!notices_xdr(xdr, message)) {
		message->n_notices = 0;
		return;
	}
	if (xdr_getpos(xdr) == len)
		return;
	if (!xdr_int64_t(xdr, &message->store_revision.era) ||
	    message->store_revision.era < 0) {
		message->store_revision.era = 0;
		return;
	}
	if (xdr_getpos(xdr) == len)
		return;
	if (!records_xdr(xdr, message)) {
		message->n_records = 0;
		return;
	}
	if (xdr_getpos(xdr) == len || !query_xdr(xdr, &message->query))
		return;
	message->has_query = message->query.id != 0;
	if (xdr_getpos(xdr) == len)
		return;
	if (!paces_xdr(xdr, message)) {
		message->n_paces = 0;
		return;
	}
	if (xdr_getpos(xdr) < len && !long_version_xdr(xdr, message))
		g_strlcpy(message->config_version, VERSION_NONE,
		    sizeof(message->config_version));
}

static size_t
message_encode(message_t *message, char *bytes)
{
	XDR xdr;
	size_t len = 0;

	xdrmem_create(&xdr, bytes, MESSAGE_BYTES, XDR_ENCODE);
	if (message_xdr(&xdr, message) && extensions_encode(&xdr, message))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

static bool
message_decode(message_t *message, char *bytes, size_t len)
{
	XDR xdr;
	bool read;

	xdrmem_create(&xdr, bytes, (u_int)len, XDR_DECODE);
	read = message_xdr(&xdr, message);
	if (read)
		extensions_decode(&xdr, message, len);
	xdr_destroy(&xdr);
	return read;
}

static void
message_send(const gossip_t *gossip, uint32_t ip, const char *bytes, size_t len)
{
	struct sockaddr_in to = {
	    .sin_family = AF_INET,
	    .sin_port = htons(gossip->gateway->own_peer.port),
	    .sin_addr.s_addr = htonl(ip),
	};

	/* A failed send is handled like a lost datagram. */
	if (sendto(gossip->watcher.fd, bytes, len, MSG_DONTWAIT,
		(struct sockaddr *)&to, sizeof(to)) < 0)
		counter_increment("peer_send_failures", NULL, NULL);
}

static bool
is_local(const gateway_t *gateway, uint32_t ip)
{
	const member_t *member = members_find(gateway->members, ip);

	return member != NULL && topology_region_of(gateway->topology,
				     member->entry.zone) == gateway->region;
}

void
gossip_round(gossip_t *gossip)
{
	gateway_t *gateway = gossip->gateway;
	time_us_t now = gateway_now(gateway);
	uint32_t ips[PEER_LIMIT];
	size_t n = members_begin_round(gateway->members, now, ips, PEER_LIMIT);
	char local_bytes[MESSAGE_BYTES];
	char remote_bytes[MESSAGE_BYTES];
	size_t local_len = 0;
	size_t remote_len = 0;

	reports_fill(gateway, &gossip->message, now);
	notices_fill(gateway, &gossip->message, true, now);
	for (size_t i = 0; i < n; i++) {
		bool local = is_local(gateway, ips[i]);

		if (local && local_len == 0) {
			message_fill(gateway, &gossip->message, MESSAGE_MEMBERS,
			    MEMBER_DIGEST_LIMIT, now);
			local_len =
			    message_encode(&gossip->message, local_bytes);
		} else if (!local && remote_len == 0) {
			message_fill(gateway, &gossip->message, MESSAGE_REGION,
			    MEMBER_DIGEST_LIMIT, now);
			remote_len =
			    message_encode(&gossip->message, remote_bytes);
		}
		message_send(gossip, ips[i], local ? local_bytes : remote_bytes,
		    local ? local_len : remote_len);
	}
}

/* Sends one load report to all live instances at that place. */
static void
load_send(
    gossip_t *gossip, message_kind_t kind, member_place_t place, time_us_t now)
{
	gateway_t *gateway = gossip->gateway;
	uint32_t ips[MEMBER_LIMIT];
	size_t n =
	    members_at(gateway->members, place, now, ips, G_N_ELEMENTS(ips));
	char bytes[MESSAGE_BYTES];
	size_t len;

	if (n == 0)
		return;
	message_fill(gateway, &gossip->message, kind, 1, now);
	/*
	 * Within the zone, where these messages are more frequent than rounds,
	 * reports reach an instance that has just started before callers do.
	 */
	gossip->message.n_reports = 0;
	gossip->message.n_notices = 0;
	if (kind == MESSAGE_INSTANCE) {
		reports_fill(gateway, &gossip->message, now);
		notices_fill(gateway, &gossip->message, false, now);
		memcpy(gossip->message.records, gossip->records,
		    gossip->n_records * sizeof(stream_record_t));
		gossip->message.n_records = gossip->n_records;
	}
	len = message_encode(&gossip->message, bytes);
	for (size_t i = 0; i < n; i++)
		message_send(gossip, ips[i], bytes, len);
}

/* Begins a message without loads. */
static message_t *
message_begin(gossip_t *gossip, time_us_t now)
{
	message_t *message = &gossip->message;

	message_fill(gossip->gateway, message, MESSAGE_MEMBERS, 1, now);
	message->n_reports = 0;
	message->n_notices = 0;
	return message;
}

/* Sends a message to a few instances of each other zone. */
static void
message_send_outside(gossip_t *gossip, time_us_t now)
{
	uint32_t ips[RECORD_COPIES * TOPOLOGY_ZONE_LIMIT];
	size_t n = members_pick_in_zones(gossip->gateway->members,
	    RECORD_COPIES, now, ips, G_N_ELEMENTS(ips));
	char bytes[MESSAGE_BYTES];
	size_t len = message_encode(&gossip->message, bytes);

	for (size_t i = 0; i < n; i++)
		message_send(gossip, ips[i], bytes, len);
}

/* What is sent while most others aren't heard may not arrive, and is kept. */
static void
records_take(gossip_t *gossip, streams_audience_t audience, time_us_t now)
{
	gateway_t *gateway = gossip->gateway;

	gossip->n_records = 0;
	if (contact_hears_most(&gateway->contact, now))
		gossip->n_records = (uint32_t)streams_export(gateway->streams,
		    audience, gossip->records, RECORD_LIMIT,
		    gateway_list_is_current(gateway), now);
}

/* Tells other zones of the streams that began here. */
static void
records_send(gossip_t *gossip, time_us_t now)
{
	message_t *message = message_begin(gossip, now);

	message->n_records = gossip->n_records;
	memcpy(message->records, gossip->records,
	    gossip->n_records * sizeof(stream_record_t));
	message_send_outside(gossip, now);
}

void
gossip_ask_stream(gossip_t *gossip, const stream_query_t *query)
{
	gateway_t *gateway = gossip->gateway;
	time_us_t now = gateway_now(gateway);
	uint32_t ips[MEMBER_LIMIT];
	size_t n = members_at(
	    gateway->members, MEMBER_SAME_ZONE, now, ips, G_N_ELEMENTS(ips));
	message_t *message = message_begin(gossip, now);
	char bytes[MESSAGE_BYTES];
	size_t len;

	message->has_query = true;
	message->query = *query;
	len = message_encode(message, bytes);
	for (size_t i = 0; i < n; i++)
		message_send(gossip, ips[i], bytes, len);
	/* These can ask the store. */
	if (!gateway_list_is_current(gateway)) {
		n = gateway_relays(gateway, ips);
		for (size_t i = 0; i < n; i++)
			message_send(gossip, ips[i], bytes, len);
	}
	message_send_outside(gossip, now);
}

static void
record_send(gossip_t *gossip, const stream_record_t *record, uint32_t ip)
{
	message_t *message =
	    message_begin(gossip, gateway_now(gossip->gateway));
	char bytes[MESSAGE_BYTES];
	size_t len;

	message->n_records = 1;
	message->records[0] = *record;
	len = message_encode(message, bytes);
	message_send(gossip, ip, bytes, len);
}

/* Returns whether the stream is known here. */
static bool
query_find(const gossip_t *gossip, const stream_query_t *query, bool current,
    stream_record_t *record)
{
	gateway_t *gateway = gossip->gateway;

	*record = (stream_record_t){.id = query->id, .service = query->service};
	return streams_find(gateway->streams, query->id, query->service,
	    query->life_ms * US_PER_MS, current, gateway_now(gateway),
	    &record->version);
}

/*
 * Answers another instance, if this one knows the stream. If it would, but for
 * a list that may be behind, it asks the store first.
 */
static void
query_answer(gossip_t *gossip, const stream_query_t *query, uint32_t ip)
{
	bool current = gateway_list_is_current(gossip->gateway);
	stream_record_t record;

	if (query_find(gossip, query, current, &record)) {
		record_send(gossip, &record, ip);
		return;
	}
	if (current || !query_find(gossip, query, true, &record) ||
	    !store_confirm(gossip->gateway->store))
		return;
	if (gossip->deferred->len < DEFERRED_LIMIT) {
		deferred_query_t deferred = {
		    *query, ip, gateway_now(gossip->gateway)};

		g_array_append_val(gossip->deferred, deferred);
	} else {
		counter_increment("stream_queries_dropped", NULL, NULL);
	}
}

void
gossip_answer_deferred(gossip_t *gossip)
{
	time_us_t now = gateway_now(gossip->gateway);
	bool current = gateway_list_is_current(gossip->gateway);

	for (guint i = 0; i < gossip->deferred->len; i++) {
		const deferred_query_t *deferred =
		    &g_array_index(gossip->deferred, deferred_query_t, i);
		stream_record_t record;

		if (now - deferred->at <= RESUMPTION_WAIT_US &&
		    query_find(gossip, &deferred->query, current, &record))
			record_send(gossip, &record, deferred->ip);
	}
	g_array_set_size(gossip->deferred, 0);
}

void
gossip_send_load(gossip_t *gossip)
{
	gateway_t *gateway = gossip->gateway;
	time_us_t now = gateway_now(gateway);

	records_take(gossip, STREAMS_FOR_ZONE, now);
	load_send(gossip, MESSAGE_INSTANCE, MEMBER_SAME_ZONE, now);
	records_take(gossip, STREAMS_FOR_OTHERS, now);
	if (gossip->n_records > 0)
		records_send(gossip, now);
	if (++gossip->n_load_ticks % ZONE_SUM_TICKS == 0 &&
	    members_is_zone_responsible(
		gateway->members, ZONE_SPEAKER_KEY, ZONE_SPEAKERS, now))
		load_send(gossip, MESSAGE_ZONE, MEMBER_SAME_REGION, now);
}

static void
load_apply(gateway_t *gateway, load_sender_t sender, const message_t *message,
    time_us_t now)
{
	targets_peer_load(
	    gateway->targets, sender, message->loads, message->n_loads, now);
	team_rates_report_instance(
	    gateway->rates, sender, message->demands, message->n_demands, now);
	targets_import_paces(gateway->targets, message->paces, message->n_paces,
	    !load_sender_is_zone(sender), now);
}

/* service: target_short_id() of its name. */
static bool
service_is_engine(const gateway_t *gateway, uint32_t service)
{
	size_t n = gateway->catalog ? catalog_n_services(gateway->catalog) : 0;

	for (size_t i = 0; i < n; i++) {
		const catalog_service_t *listed =
		    catalog_service(gateway->catalog, (int)i);

		if (target_short_id(listed->name) == service)
			return listed->engine;
	}
	return false;
}

static void
region_apply(
    gateway_t *gateway, int region, const message_t *message, time_us_t now)
{
	region_load_t *load = &gateway->region_loads[region];

	team_rates_report_region(
	    gateway->rates, region, message->demands, message->n_demands, now);
	/* It doesn't know the room of its region. */
	if (message->members[0].lost)
		return;
	memcpy(load->services, message->capacities,
	    message->n_capacities * sizeof(service_capacity_t));
	for (uint32_t i = 0; i < message->n_capacities; i++) {
		const service_capacity_t *capacity = &message->capacities[i];

		overflow_note_report(&load->shares[i], capacity->room,
		    service_is_engine(gateway, capacity->service),
		    gateway->region_instances, random_next(&gateway->random));
	}
	load->n = message->n_capacities;
	load->received_at = now;
}

static void
notices_apply(gateway_t *gateway, const message_t *message, time_us_t now)
{
	for (uint32_t i = 0; i < message->n_notices; i++) {
		const target_notice_t *notice = &message->notices[i];
		bool is_departure = target_notice_is_departure(notice);
		target_t *target;

		/* Its revision is of the sender's era. */
		if (is_departure && notice->kind != TARGET_NOTICE_LEAVING &&
		    message->store_revision.era !=
			store_revision(gateway->store).era)
			continue;
		target = targets_import_notice(gateway->targets, notice, now);
		if (target == NULL)
			continue;
		if (is_departure)
			gateway_note_departure(gateway, target, "instance");
		else
			gateway_note_target(gateway, target, "instance");
	}
}

static member_place_t
place_of(const gateway_t *gateway, int zone)
{
	if (zone == gateway->zone)
		return MEMBER_SAME_ZONE;
	return topology_region_of(gateway->topology, zone) == gateway->region
		   ? MEMBER_SAME_REGION
		   : MEMBER_OTHER_REGION;
}

static void
message_apply(gossip_t *gossip, const message_t *message)
{
	gateway_t *gateway = gossip->gateway;
	time_us_t now = gateway_now(gateway);
	const member_entry_t *sender = &message->members[0];
	int region;

	if (message->n_members == 0 || sender->ip == gateway->own_peer.ip)
		return;
	members_merge(
	    gateway->members, message->members, message->n_members, now);
	rollout_note(&gateway->rollout, gateway_config_version(gateway),
	    &(rollout_report_t){message->config_version, sender->ip,
		place_of(gateway, sender->zone)},
	    now);
	fetch_update(gateway->fetch);
	gateway_note_revision(gateway, sender->ip, message->store_revision);
	quarantine_import(
	    gateway->quarantine, message->reports, message->n_reports, now);
	notices_apply(gateway, message, now);
	region = topology_region_of(gateway->topology, sender->zone);
	if (region == TOPOLOGY_NONE)
		return;
	/*
	 * A sender that doesn't know this instance yet takes it for one of
	 * another region, so the kind has to match the place.
	 */
	switch ((message_kind_t)message->kind) {
	case MESSAGE_INSTANCE:
		if (sender->zone == gateway->zone)
			load_apply(gateway, sender->ip, message, now);
		return;
	case MESSAGE_ZONE:
		if (region == gateway->region &&
		    sender->zone != gateway->zone &&
		    zone_sum_accept(&gossip->zone_sums[sender->zone],
			message->n_instances, now))
			load_apply(gateway, load_sender_of_zone(sender->zone),
			    message, now);
		return;
	case MESSAGE_REGION:
		if (region != gateway->region)
			region_apply(gateway, region, message, now);
		return;
	case MESSAGE_MEMBERS:
	case MESSAGE_KIND_COUNT:
		return;
	}
}

/*
 * Applies records of streams and answers a query. The message is copied, as a
 * request that goes on may send another one from the same buffer.
 */
static void
streams_apply(gossip_t *gossip)
{
	gateway_t *gateway = gossip->gateway;
	const message_t *message = &gossip->message;
	time_us_t now = gateway_now(gateway);
	uint32_t ip = message->members[0].ip;
	uint32_t n_records = message->n_records;
	stream_record_t records[RECORD_LIMIT];
	bool has_query = message->has_query;
	stream_query_t query = message->query;

	if (message->n_members == 0 || ip == gateway->own_peer.ip)
		return;
	memcpy(records, message->records, n_records * sizeof(records[0]));
	for (uint32_t i = 0; i < n_records; i++) {
		streams_import(gateway->streams, &records[i], now);
		resumptions_note_record(gateway, records[i].id);
	}
	if (has_query)
		query_answer(gossip, &query, ip);
}

static void
on_readable(struct ev_loop *loop, ev_io *watcher, int revents)
{
	gossip_t *gossip = watcher->data;
	char bytes[MESSAGE_BYTES];

	for (int i = 0; i < READ_BATCH; i++) {
		ssize_t len =
		    recv(watcher->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

		if (len < 0)
			return;
		if (message_decode(&gossip->message, bytes, (size_t)len)) {
			message_apply(gossip, &gossip->message);
			streams_apply(gossip);
		} else {
			counter_increment(
			    "peer_messages_unreadable", NULL, NULL);
		}
	}
}

gossip_t *
gossip_create(gateway_t *gateway, GError **error)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons(gateway->own_peer.port),
	    .sin_addr.s_addr = htonl(gateway->own_peer.ip),
	};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	gossip_t *gossip;

	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		g_set_error(error, CS_ERROR, CS_ERROR_IO,
		    "peer %s: %s; use an address of this machine that is "
		    "free for UDP",
		    gateway->settings->peer, g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	gossip = g_new0(gossip_t, 1);
	gossip->gateway = gateway;
	gossip->deferred = g_array_new(FALSE, FALSE, sizeof(deferred_query_t));
	ev_io_init(&gossip->watcher, on_readable, fd, EV_READ);
	ev_set_priority(&gossip->watcher, NET_SOCKET_PRIORITY);
	gossip->watcher.data = gossip;
	ev_io_start(gateway->loop, &gossip->watcher);
	return gossip;
}

void
gossip_destroy(gossip_t *gossip)
{
	ev_io_stop(gossip->gateway->loop, &gossip->watcher);
	close(gossip->watcher.fd);
	g_array_unref(gossip->deferred);
	g_free(gossip);
}
