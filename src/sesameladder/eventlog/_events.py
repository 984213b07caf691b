"""The events that programs log, with the message of each.

The names are stable because alerts and log searches match them. A test compares
this table with the one in docs/OPERATIONS.md.
"""

EVENTS = {
    "started": "the process serves",
    "settings_refused": "the settings are invalid and the process ends",
    "shutdown_started": "a graceful shutdown begins",
    "shutdown_finished": "the shutdown is done; clean tells whether work was left",
    "configuration_applied": "ticket is in effect on this instance",
    "configuration_error": "a step of the configuration task failed",
    "ticket_refused": "a peer or the store offered a ticket that does not fit",
    "plan_refused": "a peer or the store offered a plan that is malformed",
    "vm_list_refused": "a peer offered a VM list that is malformed",
    "platform_read_failed": "the store or the VM list did not answer",
    "relay_role_changed": "this instance took or lost its zone's relay role",
    "planner_role_acquired": "this instance plans its region",
    "planner_role_lost": "this instance no longer plans its region",
    "planner_step_put_off": "a planner step waits for the store",
    "planner_action_failed": "the platform refused an action on a VM",
    "planner_error": "a planner step failed",
    "checkpoint_wanted": "running work holds up the planned stop of vm",
    "cell_adopted": "this instance dispatches the cell of pool and zone",
    "dispatch_error": "a step of the dispatch task failed",
    "connection_refused": "requests were refused unread, or connections closed",
    "peer_message_refused": "a peer sent a message of another deployment or format",
    "request_error": "request failed inside this instance",
    "forward_error": "request of another instance failed inside this instance",
    "lease_renewal_failed": "a worker did not renew a task's lease",
    "checkpoint_failed": "a worker did not take a checkpoint order",
    "throttle_failed": "a worker did not take a throttle order",
    "token_hand_over_failed": "no peer took this instance's token table",
    "alarm_deadline_too_near": "a wave starts no more stops before its deadline",
    "alarm_failed": "a VM has been failed for some time",
    "alarm_owner_silent": "an instance that owns cells has not reported for some time",
    "alarm_set_aside": "a VM did not return from its reboot within the limit",
    "alarm_spare_exhausted": "a pool is short and no spare VM can be lent",
    "alarm_wave_late": "a wave ended with VMs that were not rebooted",
    "http_server_error": "a stand-in's HTTP server failed to answer",
    "dump_part_failed": "a part did not give its state to a dump",
}
"""Message of the log line, by event name."""
