/*
 * team_table.h
 * a route table without routes that has one team, "t", with a limit in tokens
 */
#ifndef COMETSPINDLE_TESTS_TEAM_TABLE_H
#define COMETSPINDLE_TESTS_TEAM_TABLE_H

#include <gtest/gtest.h> /* C++ headers precede those with C linkage */

extern "C"
{
#include <libcometspindle/gateway/routing/routes.h>
}

/** The caller releases the table with comet_route_table_unref. */
inline comet_route_table *
create_single_team_table()
{
	comet_http_limits limits = {};
	comet_route_team team = {};

	team.name = const_cast<char *>("t");
	team.rate_per_s = 1000;
	team.burst = 1000;
	team.in_tokens = true;
	comet_route_table *table = comet_route_table_create(1, &limits);
	comet_route_table_add_team(table, &team, nullptr, 0);
	return table;
}

#endif
