#include "common/ring.h"

#include <ck_ring.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "common/errors.h"

struct ring {
	ck_ring_t ring;
	ck_ring_buffer_t *buffer;
	int fd;
	int is_signalled;
};

int ring_create(struct ring **out, size_t capacity)
{
	struct ring *r = calloc(1, sizeof(*r));
	size_t size = 4;

	if (!r)
		return -ERR_NOMEM;
	/* ck_ring leaves one entry unused. */
	while (size < capacity + 1)
		size *= 2;
	r->buffer = calloc(size, sizeof(*r->buffer));
	r->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (!r->buffer || r->fd < 0) {
		ring_destroy(r);
		return -ERR_NOMEM;
	}
	ck_ring_init(&r->ring, size);
	*out = r;
	return 0;
}

void ring_destroy(struct ring *r)
{
	if (!r)
		return;
	if (r->fd >= 0)
		close(r->fd);
	free(r->buffer);
	free(r);
}

int ring_push(struct ring *r, void *item)
{
	uint64_t one = 1;

	if (!ck_ring_enqueue_mpsc(&r->ring, r->buffer, item))
		return -ERR_FULL;
	/* Only the first entry after a reset needs a system call. */
	if (__atomic_exchange_n(&r->is_signalled, 1, __ATOMIC_SEQ_CST))
		return 0;
	while (write(r->fd, &one, sizeof(one)) < 0)
		;
	return 0;
}

void *ring_pop(struct ring *r)
{
	void *item;

	if (!ck_ring_dequeue_mpsc(&r->ring, r->buffer, &item))
		return NULL;
	return item;
}

int ring_fd(const struct ring *r)
{
	return r->fd;
}

void ring_clear_wakeup(struct ring *r)
{
	uint64_t n;

	if (read(r->fd, &n, sizeof(n)) < 0)
		n = 0;
	__atomic_store_n(&r->is_signalled, 0, __ATOMIC_SEQ_CST);
}

size_t ring_size(const struct ring *r)
{
	return ck_ring_size(&r->ring);
}
