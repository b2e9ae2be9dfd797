#include <CUnit/Basic.h>

#include "suites.h"

static CU_SuiteInfo suites[] = {
	{ "broken inputs", NULL, NULL, NULL, NULL, broken_tests },
	{ "cold leaf", NULL, NULL, NULL, NULL, cold_leaf_tests },
	{ "common", NULL, NULL, NULL, NULL, common_tests },
	{ "cut reply", NULL, NULL, NULL, NULL, cut_reply_tests },
	{ "directory", NULL, NULL, NULL, NULL, directory_tests },
	{ "engine admission", NULL, NULL, NULL, NULL, engine_admission_tests },
	{ "engine extra calls", NULL, NULL, NULL, NULL,
	  engine_extra_calls_tests },
	{ "engine keys", NULL, NULL, NULL, NULL, engine_keys_tests },
	{ "engine replicas", NULL, NULL, NULL, NULL, engine_replicas_tests },
	{ "engine snapshot", NULL, NULL, NULL, NULL, engine_snapshot_tests },
	{ "explain", NULL, NULL, NULL, NULL, explain_tests },
	{ "forward", NULL, NULL, NULL, NULL, forward_tests },
	{ "fleet frame", NULL, NULL, NULL, NULL, fleet_frame_tests },
	{ "fleet membership", NULL, NULL, NULL, NULL, fleet_membership_tests },
	{ "fleet config", NULL, NULL, NULL, NULL, fleet_config_tests },
	{ "fleet lease", NULL, NULL, NULL, NULL, fleet_lease_tests },
	{ "fleet faults", NULL, NULL, NULL, NULL, fleet_fault_tests },
	{ "fleet seat", NULL, NULL, NULL, NULL, fleet_seat_tests },
	{ "fleet placement", NULL, NULL, NULL, NULL, fleet_placement_tests },
	{ "host frame", NULL, NULL, NULL, NULL, host_frame_tests },
	{ "http heads", NULL, NULL, NULL, NULL, http_head_tests },
	{ "http server", NULL, NULL, NULL, NULL, http_server_tests },
	{ "identity", NULL, NULL, NULL, NULL, identity_tests },
	{ "leaf client", NULL, NULL, NULL, NULL, leaf_client_tests },
	{ "load figures", NULL, NULL, NULL, NULL, load_figure_tests },
	{ "merge", NULL, NULL, NULL, NULL, merge_tests },
	{ "odd entries", NULL, NULL, NULL, NULL, odd_entry_tests },
	{ "old news", NULL, NULL, NULL, NULL, old_news_tests },
	{ "places", NULL, NULL, NULL, NULL, place_tests },
	{ "quota", NULL, NULL, NULL, NULL, quota_tests },
	{ "quota schedules", NULL, NULL, NULL, NULL, quota_schedule_tests },
	{ "quota regions", NULL, NULL, NULL, NULL, quota_region_tests },
	{ "rate exchange", NULL, NULL, NULL, NULL, rate_exchange_tests },
	{ "rate limit", NULL, NULL, NULL, NULL, rate_limit_tests },
	{ "rate shares", NULL, NULL, NULL, NULL, rate_shares_tests },
	{ "request reader", NULL, NULL, NULL, NULL, request_reader_tests },
	{ "replies", NULL, NULL, NULL, NULL, reply_tests },
	{ "route callers", NULL, NULL, NULL, NULL, route_caller_tests },
	{ "route split", NULL, NULL, NULL, NULL, route_split_tests },
	{ "route stats", NULL, NULL, NULL, NULL, route_stats_tests },
	{ "router", NULL, NULL, NULL, NULL, router_tests },
	{ "router schedules", NULL, NULL, NULL, NULL, router_schedule_tests },
	{ "router stop", NULL, NULL, NULL, NULL, router_stop_tests },
	{ "start hold", NULL, NULL, NULL, NULL, start_hold_tests },
	{ "token owner", NULL, NULL, NULL, NULL, token_owner_tests },
	{ "triage", NULL, NULL, NULL, NULL, triage_tests },
	{ "triage load", NULL, NULL, NULL, NULL, triage_load_tests },
	{ "waiting", NULL, NULL, NULL, NULL, waiting_tests },
	{ "router feed", NULL, NULL, NULL, NULL, router_feed_tests },
	{ "upstream", NULL, NULL, NULL, NULL, upstream_tests },
	{ "peer", NULL, NULL, NULL, NULL, peer_tests },
	{ "store changes", NULL, NULL, NULL, NULL, store_change_tests },
	{ "store etcd", NULL, NULL, NULL, NULL, store_etcd_tests },
	{ "store follow", NULL, NULL, NULL, NULL, store_follow_tests },
	{ "store gateway", NULL, NULL, NULL, NULL, store_gateway_tests },
	{ "store publish", NULL, NULL, NULL, NULL, store_publish_tests },
	{ "store reply", NULL, NULL, NULL, NULL, store_reply_tests },
	{ "store return", NULL, NULL, NULL, NULL, store_return_tests },
	CU_SUITE_INFO_NULL,
};

/* Runs all suites, or the one that is named. */
int main(int argc, char **argv)
{
	unsigned int failures;
	CU_pSuite suite;

	if (CU_initialize_registry() || CU_register_suites(suites))
		return 1;
	CU_basic_set_mode(CU_BRM_NORMAL);
	if (argc < 2) {
		CU_basic_run_tests();
	} else {
		suite = CU_get_suite(argv[1]);
		if (!suite)
			return 2;
		CU_basic_run_suite(suite);
	}
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures ? 1 : 0;
}
