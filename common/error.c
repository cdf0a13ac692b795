#include "common/error.h"

/* Not G_DEFINE_QUARK, whose cached result is written without a lock. */
GQuark
cs_error_quark(void)
{
	return g_quark_from_static_string("cs-error-quark");
}
