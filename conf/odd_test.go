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

// TestEndlessPrefillRate guards against a rate at which each prompt takes no time.
func TestEndlessPrefillRate(t *testing.T) {
	for _, rate := range []string{"inf", "+inf", "-inf", "nan", "-1.0", "1e400"} {
		_, err := conf.Parse(strings.Replace(agentSettings, "1000.0", rate, 1))
		check.Equal(t, rate+" is rejected", err != nil, true)
	}
	_, err := conf.Parse(agentSettings)
	check.NoError(t, err)
}
