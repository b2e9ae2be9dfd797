/* Entry point of libFuzzer; the variable FUZZ_TARGET names the target. */
#include <stdlib.h>
#include <string.h>

#include "targets.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static const struct fuzz_target *target;
	const char *name = getenv("FUZZ_TARGET");

	for (const struct fuzz_target *t = fuzz_targets; !target && t->name;
	     t++)
		if (name && !strcmp(name, t->name))
			target = t;
	if (!target)
		abort();
	target->run(data, len);
	return 0;
}
