#include "common/packed.h"

#include <stdbool.h>
#include <stdint.h>

#include "common/errors.h"

#define MAX_DEPTH 6

static uint64_t read_big_endian(const unsigned char *b, size_t len)
{
	uint64_t v = 0;

	for (size_t i = 0; i < len; i++)
		v = v << 8 | b[i];
	return v;
}

/** Size of one msgpack element. */
struct element {
	/** Bytes of the tag and the length. */
	size_t head;
	/** Bytes that follow the head. */
	uint64_t body;
	/** Elements of an array, which follow the head. */
	uint64_t children;
};

/* Scans an element whose length, of the given width, follows the tag. */
static int scan_sized(const unsigned char *b, size_t left, size_t width,
		      size_t extra, bool is_array, struct element *e)
{
	uint64_t size;

	if (left < 1 + width)
		return -ERR_FRAME_TRUNCATED;
	size = read_big_endian(b + 1, width);
	e->head = 1 + width;
	if (is_array)
		e->children = size;
	else
		e->body = size + extra;
	return 0;
}

static int scan_element(const unsigned char *b, size_t left, struct element *e)
{
	unsigned char tag = b[0];

	*e = (struct element){ .head = 1 };
	if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 ||
	    tag == 0xc3)
		return 0;
	if (tag >= 0x90 && tag <= 0x9f) {
		e->children = tag & 0x0f;
		return 0;
	}
	if (tag >= 0xa0 && tag <= 0xbf) {
		e->body = tag & 0x1f;
		return 0;
	}
	if (tag >= 0xc4 && tag <= 0xc6)
		return scan_sized(b, left, 1U << (tag - 0xc4), 0, false, e);
	if (tag >= 0xcc && tag <= 0xcf)
		e->body = 1U << (tag - 0xcc);
	else if (tag >= 0xd0 && tag <= 0xd3)
		e->body = 1U << (tag - 0xd0);
	else if (tag >= 0xd9 && tag <= 0xdb)
		return scan_sized(b, left, 1U << (tag - 0xd9), 0, false, e);
	else if (tag == 0xdc || tag == 0xdd)
		return scan_sized(b, left, 2U << (tag - 0xdc), 0, true, e);
	else
		return -ERR_FRAME;
	return 0;
}

int packed_check(const void *data, size_t len)
{
	const unsigned char *b = data;
	uint64_t open[MAX_DEPTH] = { 1 };
	size_t at = 0;
	int depth = 0;
	struct element e;
	int r;

	while (depth >= 0) {
		if (!open[depth]) {
			depth--;
			continue;
		}
		open[depth]--;
		if (at >= len)
			return -ERR_FRAME_TRUNCATED;
		r = scan_element(b + at, len - at, &e);
		if (r)
			return r;
		at += e.head;
		if (e.body > len - at || e.children > len - at)
			return -ERR_FRAME_TRUNCATED;
		at += e.body;
		if (!e.children)
			continue;
		if (++depth == MAX_DEPTH)
			return -ERR_FRAME;
		open[depth] = e.children;
	}
	return at == len ? 0 : -ERR_FRAME;
}
