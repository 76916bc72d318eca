package reference

// Advice tells operators what to check when the value of a metric changes.
type Advice struct {
	Metric string
	Text   string
}

// Advices returns the advice for every metric of the system.
func Advices() []Advice {
	return []Advice{
		{"savoryweir_node_requests_total", "`refused` or `failed` rising: `refusals_total` and `sends_total` tell why; OPERATIONS leads from one request to its cause."},
		{"savoryweir_node_refusals_total", "`overloaded`: more work than the engines read; `no engine holds the model`: look at `orders_total` and `holds_orders`; `no upstream`: look at `upstreams`; `software version of the stream is not known`: all instances that knew were lost, or datagrams do not arrive; after the store came back from an older copy, for 2.5 s; `another instance has a newer configuration`: look at `request.older_config`."},
		{"savoryweir_node_callers_left_total", "`body` and `waiting`: callers give up before their requests are sent, so that this instance is short of processor time or models are missing; `sent` and `response`: compare with `first_byte_seconds` and `event_gap_seconds`."},
		{"savoryweir_node_sends_total", "`lost`: upstreams break off, look at the events `request.send_failed` by upstream; `not run`: full upstreams or models that have just moved."},
		{"savoryweir_node_broken_exchanges_total", "`upstream`: upstreams close connections; `silence`: they send nothing for longer than the route's targets allow, and the request goes on elsewhere; compare with `requests_total` of outcome `aborted`."},
		{"savoryweir_node_forwards_total", "Rises at one instance: its path to the upstreams has failed; at all: upstreams are gone that the store still lists."},
		{"savoryweir_node_first_byte_seconds", "Rises before refusals do: look at the work of each model in the event `placement.state`."},
		{"savoryweir_node_event_gap_seconds", "Long gaps: engines with too many prompts to read, or a link that loses packets."},
		{"savoryweir_node_residency_wait_seconds", "Above 0.1 for adapters: more adapters are in use than the engines have slots for."},
		{"savoryweir_node_store_call_seconds", "Results other than `ok`: the store. The count over all instances must stay below the store's rates."},
		{"savoryweir_node_orders_total", "`unknown`: engines do not answer; `conflict`: another holder gave orders, or an order was carried out late."},
		{"savoryweir_node_quota_requests_total", "`refused` for one customer: it is beyond its quota, or the events `quota.refused` name an owner with a low `per_second`: instances that it does not hear; `run again` above a tenth of `granted`: upstreams break off."},
		{"savoryweir_node_upstream_connections_total", "Near the number of requests: upstreams close connections, or answers are not whole."},
		{"savoryweir_node_config_version", "Must be the same at all instances within seconds; an instance that is behind does not reach the store."},
		{"savoryweir_node_config_proof_age_seconds", "Usually below a third of the setting `bounds-revoke`. Above it less its fiftieth, requests with API keys are refused: this instance reaches neither the store nor another instance that does, or none with the newest configuration."},
		{"savoryweir_node_upstreams", "Lower than at other instances: this instance does not reach the store and hears nobody who does."},
		{"savoryweir_node_peers", "Lower than the number of instances less one: datagrams do not arrive; look at the mesh port."},
		{"savoryweir_node_retries_left", "At 0 failures are passed on; look for the upstream that causes the repeats."},
		{"savoryweir_node_requests_in_flight", "Grows without end: upstreams hang. While stopping it must fall to zero."},
		{"savoryweir_node_holds_orders", "The sum over all instances must be 1; 0 for more than ten seconds: nobody reaches the store."},
		{"savoryweir_node_warmup_window", "Stays at 4: the upstream answers slowly or not at all, look at `warmup.window`; absent: all upstreams that this instance owns are warm."},
		{"savoryweir_node_log_lines_dropped_total", "More lines than the reader takes; lines of refused and failed requests are the last to go."},
		{"savoryweir_entry_requests_total", "Compare instances: the balancer should send each a like share."},
		{"savoryweir_entry_failures_total", "The label `code` tells the cause; look at the time line of one request with it."},
		{"savoryweir_entry_retries_total", "Look at `upstream_faults_total` for the upstream that causes them; at the budget, `[upstreams] retry-share`, failures rise instead."},
		{"savoryweir_entry_upstream_faults_total", "One upstream: look at it. All upstreams of one entry: look at the network."},
		{"savoryweir_entry_upstream_deaths_total", "Two deaths under one request refuse that request; look for its caller in the time line."},
		{"savoryweir_entry_request_seconds", "Compare services; one slow service must not slow the others."},
		{"savoryweir_entry_orders_unrecorded_total", "Resends of these orders are told `unknown`; look at the control process and the store."},
		{"savoryweir_entry_connections_refused_total", "More load than `[callers] max-streams`, or calls of a hung service that do not end."},
		{"savoryweir_entry_view_of_other_instance", "1 for minutes: look at this instance's control process; its orders are refused meanwhile."},
		{"savoryweir_entry_requests_in_progress", "Near `[callers] max-streams` requests are refused; while draining it must fall to zero."},
		{"savoryweir_control_peer_sent_bytes_total", "More than 3,000 a second over minutes is above the budget: look for members that flap in the time line."},
		{"savoryweir_control_peer_received_bytes_total", "As for the sent bytes; one instance alone: look at who asks it for sections."},
		{"savoryweir_bundle_generation", "Must be the same at all instances within seconds; `savoryweirctl status` shows who is behind."},
		{"savoryweir_bundle_heads_total", "`older` means stale reads or an instance that was cut off; `conflicting` must stay 0, else the store gave one generation two contents."},
		{"savoryweir_bundle_refused_total", "Look at the log line with the prefix `bundles`, then at the trusted keys and at who wrote the pointer."},
		{"savoryweir_bundle_fetch_errors_total", "Look at peers that are dead or slow and at the store."},
		{"savoryweir_bundle_watch_errors_total", "The store is down or slow for this instance; the bundle in force stays."},
		{"savoryweir_bundle_fetched_bytes_total", "Rises with each generation by the changed sections; without a new generation look for restarts."},
		{"savoryweir_bundle_deleted_objects_total", "The sum over all instances rises with each generation, once there are more than `[bundles] keep-generations`; else look for sweeps that fail in the log at level debug."},
		{"savoryweir_bundle_heads_dropped_total", "The process is too slow for its messages; look at its processor time. Heads are told again."},
		{"savoryweir_orders_claims_total", "Refusing answers: look at `commit_failures_total` and the store."},
		{"savoryweir_orders_finishes_total", "As for the claims; results that are not recorded become `unknown`."},
		{"savoryweir_orders_unknown_total", "Each is an order whose claimant was lost; look for killed instances and for upstreams that do not answer."},
		{"savoryweir_orders_commits_total", "The sum over all instances must stay below `[orders] writes-per-second`."},
		{"savoryweir_orders_committed_operations_total", "Divided by the commits it is the batch size; it grows with load."},
		{"savoryweir_orders_commit_failures_total", "`throttled` and `unavailable`: the store. `conflict`: two owners of a shard, while members change."},
		{"savoryweir_orders_read_backs_total", "Answers of the store get lost; the writes took effect."},
		{"savoryweir_orders_head_bytes", "Follows `[orders] active-kib` and the number of sealed segments; a shard that remembers `max-records` keys refuses new ones."},
		{"savoryweir_orders_written_bytes_total", "Grows with orders and with `[orders] max-body-bytes`."},
		{"savoryweir_orders_held", "At `[orders] max-held` new orders are refused; look at upstreams that do not answer."},
	}
}
