/*
 * head_fields.h
 * heads for tests that need no reader
 */
#ifndef COMETSPINDLE_TESTS_HEAD_FIELDS_H
#define COMETSPINDLE_TESTS_HEAD_FIELDS_H

#include <string>
#include <utility>
#include <vector>

extern "C"
{
#include <libcometspindle/adapters/http_reader.h>
}

/* A head with these headers. */
struct head_fields
{
	explicit head_fields(const std::vector<std::pair<std::string, std::string>> &headers)
	{
		for (const auto &one : headers)
			text += one.first + '\0' + one.second + '\0';
		head.fields = text.data();
		head.fields_bytes = text.size();
		head.n_headers = headers.size();
	}

	std::string text;
	comet_http_head head = {};
};

#endif
