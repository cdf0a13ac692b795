/*
 * Messages between instances (docs/design.md, section 8). The C files in
 * generated/ are made from this file by scripts/generate-peer.
 *
 * Each procedure takes a peer_call and returns a peer_reply. Their body is the
 * XDR encoding of one of the wire_ types, so that the MAC covers exactly the
 * bytes that are decoded.
 */

const PEER_NAME_BYTES = 63;
const PEER_DIGEST_BYTES = 16;
const PEER_MAC_BYTES = 32;
const PEER_LISTS = 3;
const PEER_FORMER = 32;
const PEER_POISON = 16;
const PEER_LOAD = 32;
const PEER_ZONES = 64;
const PEER_PARTS = 256;
const PEER_SETS = 2;
const PEER_SKIP = 64;
const PEER_CALL_BYTES = 16384;    /* the longest heartbeat takes 7,752 */
const PEER_TEXT_BYTES = 1048576;  /* the platform's limit for a value */
const PEER_REPLY_BYTES = 1049600; /* text and 1,024 for the fields around it */

enum peer_status {
	PEER_STATUS_DONE = 0,
	PEER_STATUS_CHALLENGE = 1 /* not run: repeat with this session */
};

struct peer_call {
	string sender<PEER_NAME_BYTES>;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	hyper time_us;
	unsigned hyper session;
	opaque body<PEER_CALL_BYTES>;
	opaque mac[PEER_MAC_BYTES];
};

struct peer_reply {
	string sender<PEER_NAME_BYTES>;
	unsigned hyper incarnation;
	unsigned hyper sequence; /* of the call */
	hyper time_us;
	unsigned hyper session;
	peer_status status;
	opaque body<PEER_REPLY_BYTES>;
	opaque mac[PEER_MAC_BYTES];
};

struct wire_stamp {
	unsigned hyper list_version;
	opaque digest[PEER_DIGEST_BYTES];
};

struct wire_former {
	string name<PEER_NAME_BYTES>;
	string zone<PEER_NAME_BYTES>;
};

struct wire_poison {
	opaque digest[PEER_DIGEST_BYTES];
	unsigned int targets_lost;
};

struct wire_load {
	string service<PEER_NAME_BYTES>;
	unsigned int in_flight;
	unsigned int slots;
	unsigned int queued;
};

struct wire_heartbeat {
	string sender<PEER_NAME_BYTES>;
	string zone<PEER_NAME_BYTES>;
	unsigned hyper incarnation;
	hyper sent_at;
	wire_stamp adopted[PEER_LISTS];
	unsigned hyper acked[PEER_LISTS];
	unsigned hyper agreed[PEER_LISTS];
	bool ready;
	bool draining;
	bool wants_lease;
	bool lease_granted;
	bool brief;
	opaque stated<PEER_ZONES>;
	wire_former former<PEER_FORMER>;
	wire_poison poison<PEER_POISON>;
	wire_load load<PEER_LOAD>;
};

/* What the caller holds of the plans list; empty for other lists. */
struct wire_set {
	unsigned hyper versions<PEER_PARTS>;
};

struct wire_skip {
	unsigned int part;
	unsigned int parts;
	unsigned hyper list_version;
};

struct wire_held {
	unsigned hyper in_force;
	unsigned int current;
	wire_set sets<PEER_SETS>;
	wire_skip skip<PEER_SKIP>;
};

struct wire_fetch {
	unsigned int kind;
	unsigned hyper min_version;
	wire_held held;
};

struct wire_fetch_reply {
	unsigned int kind;
	unsigned int part;  /* of plans */
	unsigned int parts; /* of plans; else 0 */
	unsigned hyper list_version;
	opaque text<PEER_TEXT_BYTES>;
};

struct wire_borrow {
	string team<PEER_NAME_BYTES>;
	unsigned int share;
	hyper tokens;
	unsigned hyper request_id;
};

struct wire_borrow_reply {
	unsigned int share;
	hyper tokens;
	unsigned hyper loan_id;
};

struct wire_return {
	string team<PEER_NAME_BYTES>;
	unsigned hyper loan_id;
	unsigned int share;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		peer_reply PEER_HEARTBEAT(peer_call) = 1;
		peer_reply PEER_FETCH_LIST(peer_call) = 2;
		peer_reply PEER_BORROW(peer_call) = 3;
		peer_reply PEER_RETURN(peer_call) = 4;
	} = 2;
} = 0x20637973;
