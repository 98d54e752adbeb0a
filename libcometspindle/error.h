/*
 * error.h
 * the GError domain and codes of the library
 */
#ifndef COMETSPINDLE_ERROR_H
#define COMETSPINDLE_ERROR_H

#include <glib.h>

#define COMET_ERROR (comet_error_quark())

enum comet_error_code
{
	COMET_ERROR_IO,        /**< a file or socket failed */
	COMET_ERROR_SYNTAX,    /**< not JSON, or not the expected framing */
	COMET_ERROR_INVALID,   /**< well formed but against a rule; message has every path */
	COMET_ERROR_SIGNATURE, /**< unsigned or wrongly signed */
	COMET_ERROR_STATE,     /**< not possible now */
};

GQuark
comet_error_quark(void);

#endif
