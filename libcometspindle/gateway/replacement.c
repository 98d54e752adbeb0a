/*
 * replacement.c
 * decides what happens to an attempt whose endpoint is silent
 */
#include <libcometspindle/gateway/replacement.h>

enum comet_replacement
comet_replacement_decide(const struct comet_replacement_input *input)
{
	uint32_t max_attempts = input->max_attempts > 0 ? input->max_attempts : 1;

	if (!input->retryable || !input->can_be_continued || input->attempts >= max_attempts ||
		input->now_us >= input->deadline_us)
		return COMET_REPLACEMENT_KEEP;
	if (!input->started)
		return input->suspect ? COMET_REPLACEMENT_KEEP : COMET_REPLACEMENT_GIVE_UP;
	/* The lookup of an unknown version may fail, and would cut off the response. */
	if (!input->version_known)
		return COMET_REPLACEMENT_KEEP;
	return input->suspect || !input->has_room ? COMET_REPLACEMENT_RECHECK
						  : COMET_REPLACEMENT_REQUEST_SLOT;
}
