#include "router/key_index.h"

#include <errno.h>
#include <pthread.h>
#include <sys/random.h>
#include <xxhash.h>

#include <glib.h>

#define SECRET_BYTES 192
#define SLOTS_MIN 16
/* Slots for each digest, at least. More leave fewer digests out of place. */
#define SLOTS_PER_DIGEST 2

G_STATIC_ASSERT(SECRET_BYTES >= XXH3_SECRET_SIZE_MIN);

struct slot {
	struct key_digest digest;
	/** KEY_OWNER_NONE marks a free slot. */
	uint32_t owner;
};

/** Open addressing with linear probing; the slots are a power of two. */
struct key_index {
	struct slot *slots;
	uint32_t slot_count;
	uint32_t count;
};

static unsigned char secret[SECRET_BYTES];

static void fill_secret(void)
{
	size_t len = 0;

	while (len < sizeof(secret)) {
		ssize_t n = getrandom(secret + len, sizeof(secret) - len, 0);

		if (n > 0)
			len += (size_t)n;
		else if (errno != EINTR)
			g_error("no random bytes for the digests of keys");
	}
}

struct key_digest key_digest_create(const char *key, size_t len)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	XXH128_hash_t h;

	pthread_once(&once, fill_secret);
	h = XXH3_128bits_withSecret(key, len, secret, sizeof(secret));
	return (struct key_digest){ { h.low64, h.high64 } };
}

bool key_digest_equal(const struct key_digest *a, const struct key_digest *b)
{
	uint64_t difference = (a->words[0] ^ b->words[0]) |
			      (a->words[1] ^ b->words[1]);

	return !difference;
}

static void create_slots(struct key_index *x, uint32_t count)
{
	x->slot_count = count;
	x->slots = g_new(struct slot, count);
	for (uint32_t i = 0; i < count; i++)
		x->slots[i].owner = KEY_OWNER_NONE;
}

struct key_index *key_index_create(void)
{
	struct key_index *x = g_new0(struct key_index, 1);

	create_slots(x, SLOTS_MIN);
	return x;
}

void key_index_free(struct key_index *x)
{
	if (!x)
		return;
	g_free(x->slots);
	g_free(x);
}

/* Returns the slot of a digest, or the free slot where it belongs. */
static struct slot *find_slot(const struct key_index *x,
			      const struct key_digest *d)
{
	uint32_t at = (uint32_t)d->words[0];

	for (;; at++) {
		struct slot *s = &x->slots[at & (x->slot_count - 1)];

		if (s->owner == KEY_OWNER_NONE ||
		    key_digest_equal(&s->digest, d))
			return s;
	}
}

static void grow(struct key_index *x)
{
	struct slot *old = x->slots;
	uint32_t count = x->slot_count;

	create_slots(x, count * 2);
	for (uint32_t i = 0; i < count; i++) {
		if (old[i].owner != KEY_OWNER_NONE)
			*find_slot(x, &old[i].digest) = old[i];
	}
	g_free(old);
}

uint32_t key_index_add(struct key_index *x, const struct key_digest *d,
		       uint32_t owner)
{
	struct slot *s = find_slot(x, d);

	if (s->owner != KEY_OWNER_NONE)
		return s->owner;
	*s = (struct slot){ *d, owner };
	if (++x->count * SLOTS_PER_DIGEST > x->slot_count)
		grow(x);
	return owner;
}

uint32_t key_index_find(const struct key_index *x, const struct key_digest *d)
{
	return x ? find_slot(x, d)->owner : KEY_OWNER_NONE;
}

size_t key_index_bytes(const struct key_index *x)
{
	return sizeof(*x) + x->slot_count * sizeof(struct slot);
}

uint32_t key_index_count(const struct key_index *x)
{
	return x ? x->count : 0;
}
