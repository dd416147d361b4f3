package conf

import "egretshunt/limit"

// Memory configures what clients may make a process hold; see limit.Budget. Zero values have defaults that follow from total.
type Memory struct {
	Total       int64 `toml:"total" doc:"Memory of the VM, in bytes; the bounds below are shares of it unless they are set. 536870912 if unset."`
	Conns       int   `toml:"conns" doc:"Maximum number of client connections. If unset, as many as fit 0.4 of the memory at 88 KiB each."`
	ClientConns int   `toml:"client" doc:"Maximum number of connections of one client address. If unset, percent of conns."`
	Small       int64 `toml:"small" doc:"Maximum bytes held for headers, bodies and responses, up to 32 KiB of each. If unset, 0.15 of the memory."`
	Percent     int   `toml:"percent" doc:"Share that one client address may have of small and of large, and of conns unless client is set, in percent. 75 if unset."`
	Large       int64 `toml:"large" doc:"Maximum bytes held for headers, bodies and responses beyond 32 KiB of each. If unset, 0.2 of the memory."`
}

// Config returns the bounds of the process's limit.Budget.
func (m Memory) Config() limit.BudgetConfig {
	return limit.BudgetConfig{Memory: m.Total, Conns: m.Conns, ClientConns: m.ClientConns, Small: m.Small, Large: m.Large, ClientPercent: m.Percent}
}

func (m Memory) check(c *checker) {
	for key, n := range map[string]int64{"total": m.Total, "conns": int64(m.Conns), "client": int64(m.ClientConns), "small": m.Small, "large": m.Large, "percent": int64(m.Percent)} {
		c.requireValid("memory."+key, n >= 0, "must not be negative")
	}
}
