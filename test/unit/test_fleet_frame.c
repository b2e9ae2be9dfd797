#include "suites.h"

#include <glib.h>
#include <string.h>

#include "common/errors.h"
#include "fleet/frame.h"

/* Short names of the negative codes, to keep the table narrow. */
#define BAD (-ERR_FRAME)
#define CUT (-ERR_FRAME_TRUNCATED)
#define SIZE (-ERR_FRAME_SIZE)
#define TYPE (-ERR_FRAME_TYPE)

/* Valid update and valid gossip part. */
#define U "96a168a161a164010000"
#define G "950102" U "9090"

struct broken {
	const char *what;
	const char *hex;
	int code;
};

/* Malformed payloads in hex, without the length prefix. */
static const struct broken broken[] = {
	{ "integer", "01", BAD },
	{ "nil", "c0", BAD },
	{ "string", "a3616263", BAD },
	{ "map", "80", BAD },
	{ "float", "ca00000000", BAD },
	{ "double", "cb0000000000000000", BAD },
	{ "extension", "d40100", BAD },
	{ "reserved tag", "c1", BAD },
	{ "empty array", "90", BAD },
	{ "type is a string", "91a130", BAD },
	{ "type is negative", "91ff", BAD },
	{ "type is nil", "91c0", BAD },
	{ "type 0", "9100", TYPE },
	{ "type 15", "910f", TYPE },
	{ "type 2^64-1", "91cfffffffffffffffff", TYPE },
	{ "forward", "9108", TYPE },
	{ "result", "9109", TYPE },
	{ "cancel", "910a", TYPE },
	{ "explain", "910d", TYPE },
	{ "explain result", "910e", TYPE },
	{ "array cut", "92", CUT },
	{ "array16 cut", "dc00", CUT },
	{ "array16 claims 65535", "dcffff01", CUT },
	{ "array32 cut", "dd0000", CUT },
	{ "array32 claims 2^32-1", "ddffffffff01", CUT },
	{ "str8 cut", "91d9", CUT },
	{ "str8 claims 255", "91d9ff61", CUT },
	{ "str32 claims 2^32-1", "91dbffffffff61", CUT },
	{ "bin32 claims 2^32-1", "91c6ffffffff61", CUT },
	{ "bin16 cut", "91c5ff", CUT },
	{ "uint64 cut", "91cf0000", CUT },
	{ "int32 cut", "91d200", CUT },
	{ "two elements", "910101", BAD },
	{ "nested 7 deep",
	  "91919191919191"
	  "01",
	  BAD },
	{ "ping without fields", "9102", BAD },
	{ "ping without gossip", "920201", BAD },
	{ "ping seq text", "9302a131" G, BAD },
	{ "ping seq negative", "9302ff" G, BAD },
	{ "ping with one field more", "940201" G "00", BAD },
	{ "gossip part is nil", "9205c0", BAD },
	{ "gossip part too short",
	  "920591"
	  "01",
	  BAD },
	{ "gossip version text",
	  "920595a131"
	  "02" U "9090",
	  BAD },
	{ "gossip sender nil", "9205950102c09090", BAD },
	{ "gossip updates nil", "9205950102" U "c090", BAD },
	{ "gossip owners nil", "9205950102" U "90c0", BAD },
	{ "update nil", "9205950102" U "91c090", BAD },
	{ "update short",
	  "9205950102"
	  "95a168a161a1640100"
	  "9090",
	  BAD },
	{ "update empty host",
	  "9205950102"
	  "96a0a161a164010000"
	  "9090",
	  BAD },
	{ "update host with line feed",
	  "9205950102"
	  "96a10aa161a164010000"
	  "9090",
	  BAD },
	{ "update host with NUL",
	  "9205950102"
	  "96a100a161a164010000"
	  "9090",
	  BAD },
	{ "update host 40 bytes",
	  "9205950102"
	  "96d928"
	  "61616161616161616161616161616161616161616161616161616161616161616161"
	  "616161616161"
	  "a161a164010000"
	  "9090",
	  BAD },
	{ "update state 4",
	  "9205950102"
	  "96a168a161a164010400"
	  "9090",
	  BAD },
	{ "update seat -2",
	  "9205950102"
	  "96a168a161a1640100fe"
	  "9090",
	  BAD },
	{ "update seat 65536",
	  "9205950102"
	  "96a168a161a1640100ce00010000"
	  "9090",
	  BAD },
	{ "owner short", "9205950102" U "909193a1640001", BAD },
	{ "owner seat 65536", "9205950102" U "909194a164ce0001000001a168",
	  BAD },
	{ "hello without reply flag", "94010101" U, BAD },
	{ "hello low above high", "95010201c2" U, BAD },
	{ "hello flag is a number", "9501010101" U, BAD },
	{ "hello version 2^32", "9501cf000000010000000001c2" U, BAD },
	{ "ping request without target", "950301a0a161" G, BAD },
	{ "ack without subject", "930401" G, BAD },
	{ "pull flag nil", "9506c0a001" G, BAD },
	{ "pull part 72 bytes",
	  "9506c2d948"
	  "61616161616161616161616161616161616161616161616161616161616161616161"
	  "61616161616161616161616161616161616161616161616161616161616161616161"
	  "61616161"
	  "01" G,
	  BAD },
	{ "set data is a string", "940701a161a161", BAD },
	{ "set without part", "940701a0c40161", BAD },
	{ "set data cut", "940701a161c40261", CUT },
	{ "lease short", "960ba16400010203", BAD },
	{ "lease seat 65536", "970ba164ce000100000102a16801", BAD },
	{ "lease with an answer", "980ba164000102a1680100", BAD },
	{ "lease ack without answer", "970ca164000102a16801", BAD },
	{ "lease ack answer 3", "980ca164000102a1680103", BAD },
};

static size_t decode_hex(const char *hex, unsigned char *out)
{
	size_t n = strlen(hex) / 2;

	for (size_t i = 0; i < n; i++)
		out[FRAME_PREFIX + i] =
			(unsigned char)(g_ascii_xdigit_value(hex[2 * i]) << 4 |
					g_ascii_xdigit_value(hex[2 * i + 1]));
	memset(out, 0, FRAME_PREFIX);
	out[2] = (unsigned char)(n >> 8);
	out[3] = (unsigned char)n;
	return n + FRAME_PREFIX;
}

/* Guards against a malformed frame being accepted or crashing the host. */
static void test_broken(void)
{
	unsigned char data[512];
	struct frame_codec *c;
	struct frame f;

	CU_ASSERT(G_N_ELEMENTS(broken) >= 60);
	CU_ASSERT_EQUAL_FATAL(frame_codec_create(&c), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(broken); i++) {
		size_t len = decode_hex(broken[i].hex, data);
		int r = frame_decode(c, data, len, &f);

		if (r != broken[i].code)
			printf("%s: got %d\n", broken[i].what, r);
		CU_ASSERT_EQUAL(r, broken[i].code);
	}
	frame_codec_destroy(c);
}

/* Guards against a frame being accepted with a wrong length prefix. */
static void test_envelope(void)
{
	static const struct {
		unsigned char data[8];
		size_t len;
		int code;
	} cases[] = {
		{ { 0 }, 0, CUT },
		{ { 0, 0, 0 }, 3, CUT },
		{ { 0, 0, 0, 0 }, 4, SIZE },
		{ { 0, 0x20, 0, 1, 0x90 }, 5, SIZE },
		{ { 0xff, 0xff, 0xff, 0xff, 0x90 }, 5, SIZE },
		{ { 0, 0, 0, 2, 0x90 }, 5, CUT },
		{ { 0, 0, 0, 1, 0x90, 0x90 }, 6, BAD },
	};
	struct frame_codec *c;
	struct frame f;

	CU_ASSERT_EQUAL_FATAL(frame_codec_create(&c), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		CU_ASSERT_EQUAL(frame_decode(c, cases[i].data, cases[i].len,
					     &f),
				cases[i].code);
		CU_ASSERT_EQUAL(frame_peek_type(cases[i].data, cases[i].len),
				cases[i].code);
	}
	frame_codec_destroy(c);
}

static const struct frame_update updates[] = {
	{ "h1", "10.0.0.1:7400", "a1", 7, MEMBER_SUSPECT, 3 },
	{ "h2", "10.0.0.2:7400", "a2", UINT64_MAX, MEMBER_LEFT, NO_SEAT },
};
static const struct frame_key_owner owners[] = { { "a1", 65535, 9, "h2" } };

static struct frame make_frame(enum frame_type type)
{
	struct frame f = {
		.type = type,
		.gossip = { .version = 41,
			    .digest = 99,
			    .sender = updates[0],
			    .updates = updates,
			    .update_count = 2,
			    .owners = owners,
			    .owner_count = 1 },
	};

	switch (type) {
	case FRAME_HELLO:
		f.hello = (struct frame_hello){ 1, 3, true, updates[1] };
		break;
	case FRAME_PING_REQ:
		f.ping_req =
			(struct frame_ping_req){ 5, "h2", "10.0.0.2:7400" };
		break;
	case FRAME_ACK:
		f.ack = (struct frame_ack){ 6, "h2" };
		break;
	case FRAME_PULL:
		f.pull = (struct frame_pull){ true, "ab12", 41 };
		break;
	case FRAME_SET:
		f.set = (struct frame_set){ 41, "ab12", "bytes", 5 };
		break;
	case FRAME_LEASE:
	case FRAME_LEASE_ACK:
		f.lease = (struct frame_lease){ "a1", 3, 9,	      11,
						"h1", 7, LEASE_HANDED };
		break;
	default:
		f.ping.seq = 4;
	}
	return f;
}

static const enum frame_type types[] = {
	FRAME_HELLO, FRAME_PING, FRAME_PING_REQ, FRAME_ACK,	 FRAME_GOSSIP,
	FRAME_PULL,  FRAME_SET,	 FRAME_LEASE,	 FRAME_LEASE_ACK
};

/* Guards against a field that the encoder or the decoder omits. */
static void test_round_trip(void)
{
	struct frame_codec *c, *decoder;
	const void *data, *again;
	size_t len, again_len;
	struct frame f, got;

	CU_ASSERT_EQUAL_FATAL(frame_codec_create(&c), 0);
	CU_ASSERT_EQUAL_FATAL(frame_codec_create(&decoder), 0);
	for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
		f = make_frame(types[i]);
		CU_ASSERT_EQUAL_FATAL(frame_encode(c, &f, &data, &len), 0);
		CU_ASSERT_EQUAL(frame_peek_type(data, len), (int)types[i]);
		CU_ASSERT_EQUAL_FATAL(frame_decode(decoder, data, len, &got),
				      0);
		CU_ASSERT_EQUAL_FATAL(
			frame_encode(decoder, &got, &again, &again_len), 0);
		CU_ASSERT_EQUAL_FATAL(again_len, len);
		CU_ASSERT(!memcmp(data, again, len));
	}
	CU_ASSERT_EQUAL(got.lease.answer, LEASE_HANDED);
	f.type = FRAME_FORWARD;
	CU_ASSERT_EQUAL(frame_encode(c, &f, &data, &len), TYPE);
	f = make_frame(FRAME_SET);
	f.set.size = FRAME_MAX;
	f.set.data = g_malloc0(FRAME_MAX);
	CU_ASSERT_EQUAL(frame_encode(c, &f, &data, &len), SIZE);
	g_free((void *)f.set.data);
	frame_codec_destroy(c);
	frame_codec_destroy(decoder);
}

/*
 * Guards against random damage that crashes the decoder or makes it accept an
 * invalid type. The test also runs under sanitizers.
 */
static void test_mutations(void)
{
	GRand *rand = g_rand_new_with_seed(20);
	struct frame_codec *c;
	unsigned char copy[1024];
	const void *data;
	struct frame f;
	size_t len;

	CU_ASSERT_EQUAL_FATAL(frame_codec_create(&c), 0);
	for (int i = 0; i < 200000; i++) {
		f = make_frame(types[i % G_N_ELEMENTS(types)]);
		CU_ASSERT_EQUAL_FATAL(frame_encode(c, &f, &data, &len), 0);
		CU_ASSERT_FATAL(len <= sizeof(copy));
		memcpy(copy, data, len);
		for (int k = g_rand_int_range(rand, 1, 5); k > 0; k--)
			copy[g_rand_int_range(rand, 0, (int)len)] =
				(unsigned char)g_rand_int(rand);
		if (i % 4 == 0)
			len = (size_t)g_rand_int_range(rand, 0, (int)len);
		if (frame_decode(c, copy, len, &f))
			continue;
		CU_ASSERT_FATAL(f.type >= FRAME_HELLO &&
				f.type <= FRAME_LEASE_ACK);
	}
	frame_codec_destroy(c);
	g_rand_free(rand);
}

/* Guards against two releases without a common protocol version connecting. */
static void test_version(void)
{
	struct frame_hello h = { 1, 5 };

	CU_ASSERT_EQUAL(frame_select_version(&h), FRAME_VERSION_HIGH);
	h.version_low = FRAME_VERSION_HIGH + 1;
	CU_ASSERT_EQUAL(frame_select_version(&h), -ERR_FRAME_VERSION);
	h = (struct frame_hello){ 0, 0 };
	CU_ASSERT_EQUAL(frame_select_version(&h), -ERR_FRAME_VERSION);
}

CU_TestInfo fleet_frame_tests[] = {
	{ "broken payloads", test_broken },
	{ "broken envelopes", test_envelope },
	{ "round trip", test_round_trip },
	{ "seeded mutations", test_mutations },
	{ "protocol versions", test_version },
	CU_TEST_INFO_NULL,
};
