#include "test/unit/fake_load.c"
