/*
 * resumption.h
 * port: how a caller's request names the stream that it resumes
 */
#ifndef COMETSPINDLE_GATEWAY_RESUMPTION_H
#define COMETSPINDLE_GATEWAY_RESUMPTION_H

/** The stream that a request resumes, decoded by the platform adapter. */
struct comet_resumption
{
	/** Id of the request that brought the first event of the stream; NULL: the request does not
	 * name a stream. Valid as long as the head of the request. */
	const char *stream;
};

#endif
