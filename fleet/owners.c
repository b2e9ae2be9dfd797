#include "fleet/owners.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/errors.h"

/* Enough for each of 2,200 hosts to pass an entry on several times. */
#define MAX_TRANSMITS 40

struct entry {
	struct frame_key_owner owner;
	uint32_t transmits_left;
};

struct owners {
	GArray *entries;
	/** Number of entries that are still to be sent. */
	uint32_t pending_count;
	/** Index of the entry that was considered last. */
	uint32_t last_index;
};

static struct entry *find_entry(const struct owners *o, const char *domain,
				uint16_t seat)
{
	struct entry *e;

	for (uint32_t i = 0; i < o->entries->len; i++) {
		e = &g_array_index(o->entries, struct entry, i);
		if (e->owner.seat == seat && !strcmp(e->owner.domain, domain))
			return e;
	}
	return NULL;
}

void owners_apply(struct owners *o, const struct frame_key_owner *entry)
{
	struct entry *e = find_entry(o, entry->domain, entry->seat);
	struct entry new_entry = { .owner = *entry };

	if (e && e->owner.epoch >= entry->epoch)
		return;
	if (!e) {
		g_array_append_val(o->entries, new_entry);
		e = &g_array_index(o->entries, struct entry,
				   o->entries->len - 1);
	}
	e->owner = *entry;
	if (!e->transmits_left)
		o->pending_count++;
	e->transmits_left = MAX_TRANSMITS;
}

uint32_t owners_take_pending(struct owners *o, struct frame_key_owner *out,
			     uint32_t max)
{
	uint32_t count = 0;
	struct entry *e;

	for (uint32_t i = 0;
	     o->pending_count && i < o->entries->len && count < max; i++) {
		o->last_index = (o->last_index + 1) % o->entries->len;
		e = &g_array_index(o->entries, struct entry, o->last_index);
		if (!e->transmits_left)
			continue;
		out[count++] = e->owner;
		if (!--e->transmits_left)
			o->pending_count--;
	}
	return count;
}

const struct frame_key_owner *owners_find(const struct owners *o,
					  const char *domain, uint16_t seat)
{
	const struct entry *e = find_entry(o, domain, seat);

	return e ? &e->owner : NULL;
}

int owners_create(struct owners **out)
{
	struct owners *o = calloc(1, sizeof(*o));

	if (!o)
		return -ERR_NOMEM;
	o->entries = g_array_new(FALSE, TRUE, sizeof(struct entry));
	*out = o;
	return 0;
}

void owners_destroy(struct owners *o)
{
	if (!o)
		return;
	g_array_free(o->entries, TRUE);
	free(o);
}
