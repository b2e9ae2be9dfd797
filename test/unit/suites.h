#ifndef TEST_UNIT_SUITES_H
#define TEST_UNIT_SUITES_H

#include <CUnit/CUnit.h>

/** Suites, one per test file; each is a NULL-terminated list of tests. */
extern CU_TestInfo broken_tests[];
extern CU_TestInfo cold_leaf_tests[];
extern CU_TestInfo common_tests[];
extern CU_TestInfo cut_reply_tests[];
extern CU_TestInfo directory_tests[];
extern CU_TestInfo engine_admission_tests[];
extern CU_TestInfo engine_extra_calls_tests[];
extern CU_TestInfo engine_keys_tests[];
extern CU_TestInfo engine_replicas_tests[];
extern CU_TestInfo engine_snapshot_tests[];
extern CU_TestInfo explain_tests[];
extern CU_TestInfo forward_tests[];
extern CU_TestInfo fleet_config_tests[];
extern CU_TestInfo fleet_fault_tests[];
extern CU_TestInfo fleet_frame_tests[];
extern CU_TestInfo fleet_lease_tests[];
extern CU_TestInfo fleet_membership_tests[];
extern CU_TestInfo fleet_placement_tests[];
extern CU_TestInfo fleet_seat_tests[];
extern CU_TestInfo host_frame_tests[];
extern CU_TestInfo http_head_tests[];
extern CU_TestInfo http_server_tests[];
extern CU_TestInfo identity_tests[];
extern CU_TestInfo leaf_client_tests[];
extern CU_TestInfo merge_tests[];
extern CU_TestInfo load_figure_tests[];
extern CU_TestInfo odd_entry_tests[];
extern CU_TestInfo old_news_tests[];
extern CU_TestInfo place_tests[];
extern CU_TestInfo quota_schedule_tests[];
extern CU_TestInfo quota_region_tests[];
extern CU_TestInfo quota_tests[];
extern CU_TestInfo rate_exchange_tests[];
extern CU_TestInfo rate_limit_tests[];
extern CU_TestInfo rate_shares_tests[];
extern CU_TestInfo reply_tests[];
extern CU_TestInfo request_reader_tests[];
extern CU_TestInfo route_caller_tests[];
extern CU_TestInfo route_split_tests[];
extern CU_TestInfo route_stats_tests[];
extern CU_TestInfo router_tests[];
extern CU_TestInfo router_feed_tests[];
extern CU_TestInfo router_schedule_tests[];
extern CU_TestInfo router_stop_tests[];
extern CU_TestInfo start_hold_tests[];
extern CU_TestInfo token_owner_tests[];
extern CU_TestInfo triage_tests[];
extern CU_TestInfo triage_load_tests[];
extern CU_TestInfo upstream_tests[];
extern CU_TestInfo waiting_tests[];
extern CU_TestInfo peer_tests[];
extern CU_TestInfo store_change_tests[];
extern CU_TestInfo store_etcd_tests[];
extern CU_TestInfo store_follow_tests[];
extern CU_TestInfo store_gateway_tests[];
extern CU_TestInfo store_publish_tests[];
extern CU_TestInfo store_reply_tests[];
extern CU_TestInfo store_return_tests[];

#endif
