"""Limits of the fields in documents that others write.

A value beyond its limit refuses the row or document that holds it, so the limits
allow more than any deployment needs and less than the code fails on.
"""

MAX_NAME_BYTES = 200  # names are parts of keys, to which the store sets this limit
MAX_LABELS = 64  # a worker has two: its kind and its rack
MAX_AMOUNT = 10**9  # a million cores in millicores, a petabyte in megabytes
MAX_COUNTER = 2**53  # the largest whole number that every JSON reader keeps exactly
MAX_TIME_MS = 253_402_300_799_999  # the end of the year 9999
MAX_CHECKPOINT_BYTES = 65_536  # it is held in memory for each run and sent to workers
MAX_REPORTED_ENDS = 500  # published limit of the ends in one report of a worker
MAX_PORT = 65_535
MAX_ROWS = 100_000  # of queues, pools or VMs in one document; there are 12,000 VMs
MAX_SHOWN_CHARACTERS = 60  # of a refused value, in errors and thus in log lines

MAX_PAYLOAD_BYTES = 4000  # published limit of a job's spec
# The work of ending a step goes with the number of steps; 500 steps with 500
# predecessors each would need a body of 500 KB.
MAX_STEPS = 500
# The progress of a job is one value of the store, of at most 1 MiB. A subtask with
# failed runs and crashes of workers takes up to 100 bytes of it.
MAX_SUBTASKS = 10_000
MAX_OCCURRENCES = 1_000_000  # one a minute for two years
# Occurrences of steps that last all run at the same time.
MAX_LASTING_OCCURRENCES = 200
