/*
 * error.c
 * the GError domain of the library
 */
#include <libcometspindle/error.h>

GQuark
comet_error_quark(void)
{
	return g_quark_from_static_string("comet-error");
}
