package event

// Events of every process.
var (
	Started  = declare(100, "started", "info", "The process listens and is ready.")
	Stopping = declare(101, "stopping", "info", "The process was asked to stop and finishes what it has begun.")
	Stopped  = declare(102, "stopped", "info", "The process has finished its work and exits.")
	Fault    = declare(103, "fault", "error", "An internal check failed. Report it with the line.")
	Keys     = declare(104, "keys", "info", "Keys were read again from the settings.")
	KeysBad  = declare(105, "keysbad", "error", "Keys could not be read again; the former ones stay in use. Mend the file.")
)

// Events of the control plane.
var (
	Elected   = declare(200, "elected", "info", "This control VM became leader of the replicated log.")
	Deposed   = declare(201, "deposed", "info", "This control VM is no longer leader.")
	Changed   = declare(202, "changed", "info", "A table change was accepted.")
	Refused   = declare(203, "refused", "warn", "A table change was refused; the text says why.")
	Members   = declare(204, "members", "info", "The set of control VMs changed.")
	Installed = declare(205, "installed", "info", "A newer revision of the tables is in force on this node.")
	Stale     = declare(206, "stale", "warn", "Freshness ran out: control can't be reached. Routes that refuse when stale get no new work here.")
	Fresh     = declare(207, "fresh", "info", "Freshness is back.")
	DiskFull  = declare(208, "diskfull", "error", "The data folder can't be written. Nothing was accepted; free space or replace the VM.")
	Damaged   = declare(209, "damaged", "error", "A file of the data folder is damaged before its end. The process stops; replace the VM or restore from a snapshot.")
	Torn      = declare(210, "torn", "warn", "The last record of the log was only partly written and was cut off. Nothing acknowledged is lost.")
	Ordered   = declare(211, "ordered", "info", "An order was given to an engine.")
	OrderBad  = declare(212, "orderbad", "warn", "An order was refused or failed; it is tried again.")
	Settled   = declare(213, "settled", "info", "An operator settled a request whose outcome was unknown.")
)

// Events of the data path.
var (
	Cut         = declare(300, "cut", "warn", "An answer was cut before its end; the caller was told.")
	Unknown     = declare(301, "unknown", "warn", "A non-idempotent request was accepted and its outcome is unknown. See ctl unknown list.")
	Crash       = declare(302, "crash", "error", "An endpoint crashed while it ran a request.")
	Quarantined = declare(303, "quarantined", "warn", "A request that crashed endpoints is refused for a while. See ctl suspect list.")
	Leaving     = declare(304, "leaving", "info", "An endpoint leaves and gets no new work.")
	Retried     = declare(305, "retried", "info", "A request that had not run was sent to another endpoint.")
	Resumed     = declare(306, "resumed", "info", "A stream went on over a new connection.")
	Fenced      = declare(307, "fenced", "warn", "An order with an old epoch was refused.")
)

// Events of kept context.
var (
	BlockBad  = declare(400, "blockbad", "warn", "A kept block failed its checksum and was dropped; its tokens are recomputed.")
	StoreFull = declare(401, "storefull", "warn", "A store has no room for new blocks; reads go on.")
	StoreSlow = declare(402, "storeslow", "warn", "A store did not answer in time; the tokens are recomputed.")
	Recovered = declare(403, "recovered", "info", "Sealed blocks were found again on disk after a restart.")
)
