package conf_test

import (
	"strings"
	"testing"

	"egretshunt/check"
	"egretshunt/conf"
)

const agentSettings = `node = "n"
place = "p"
control = ["10.0.0.1:80"]
[wire]
listen = "10.0.0.1:80"
secrets = ["a secret of sixteen bytes"]
[agent]
pool = "p"
endpoint = "e"
kind = "service"
backend = "10.0.0.1:81"
prefill = 1000.0
`

// TestNegativeMemory guards against bounds that reject every request.
func TestNegativeMemory(t *testing.T) {
	for _, key := range []string{"total", "conns", "client", "small", "large"} {
		_, err := conf.Parse(agentSettings + "[memory]\n" + key + " = -1\n")
		check.Equal(t, key+" is rejected", err != nil, true)
	}
	s, err := conf.Parse(agentSettings + "[memory]\ntotal = 1048576\nconns = 3\n")
	check.NoError(t, err)
	check.Equal(t, "bounds", []any{s.Memory.Config().Memory, s.Memory.Config().Conns}, []any{int64(1 << 20), 3})
}

// TestEndlessPrefillRate guards against a rate at which each prompt takes no time.
func TestEndlessPrefillRate(t *testing.T) {
	for _, rate := range []string{"inf", "+inf", "-inf", "nan", "-1.0", "1e400"} {
		_, err := conf.Parse(strings.Replace(agentSettings, "1000.0", rate, 1))
		check.Equal(t, rate+" is rejected", err != nil, true)
	}
	_, err := conf.Parse(agentSettings)
	check.NoError(t, err)
}
