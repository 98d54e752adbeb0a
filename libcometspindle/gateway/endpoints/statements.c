/*
 * statements.c
 * what incarnations of endpoints have stated, kept while the directory does not list them
 */
#include <libcometspindle/gateway/endpoints/statements.h>

#include <glib.h>
#include <talloc.h>

struct statement
{
	uint64_t leaving_us;
	uint64_t rest_until_us;
};

struct comet_statements
{
	GHashTable *by_key; /* key of an incarnation -> struct statement */
};

static int
statements_destroy(struct comet_statements *statements)
{
	g_hash_table_destroy(statements->by_key);
	return 0;
}

struct comet_statements *
comet_statements_create(void *parent)
{
	struct comet_statements *statements = talloc_zero(parent, struct comet_statements);

	statements->by_key = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	talloc_set_destructor(statements, statements_destroy);
	return statements;
}

void
comet_statements_keep(struct comet_statements *statements, const struct comet_instance *instance)
{
	const struct statement statement = {instance->leaving_us, instance->rest_until_us};

	if ((statement.leaving_us == 0 && statement.rest_until_us == 0) ||
		g_hash_table_size(statements->by_key) >= COMET_STATEMENTS_MAX)
		return;
	g_hash_table_insert(statements->by_key, GUINT_TO_POINTER(instance->key),
		g_memdup2(&statement, sizeof statement));
}

void
comet_statements_apply(struct comet_statements *statements, struct comet_instance *instance)
{
	const struct statement *statement =
		g_hash_table_lookup(statements->by_key, GUINT_TO_POINTER(instance->key));

	if (statement == NULL)
		return;
	if (statement->leaving_us != 0)
		comet_instance_left(instance, statement->leaving_us);
	instance->rest_until_us = statement->rest_until_us;
	g_hash_table_remove(statements->by_key, GUINT_TO_POINTER(instance->key));
}

/* Arguments of is_over(). */
struct expiry
{
	uint64_t max_age_us;
	uint64_t now_us;
};

static gboolean
is_over(gpointer key, gpointer value, gpointer ctx)
{
	const struct statement *statement = value;
	const struct expiry *expiry = ctx;

	(void)key;
	return expiry->now_us >= statement->rest_until_us &&
	       (statement->leaving_us == 0 ||
		       expiry->now_us >= statement->leaving_us + expiry->max_age_us);
}

void
comet_statements_expire(struct comet_statements *statements, uint64_t max_age_us, uint64_t now_us)
{
	struct expiry expiry = {max_age_us, now_us};

	g_hash_table_foreach_remove(statements->by_key, is_over, &expiry);
}
