package slopes_test

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"egretshunt/check"
	"egretshunt/slopes"
)

var parts = flag.String("parts", "", "measure only these parts and print them: nodes, cores, claims, path")

var measure = flag.Bool("measure", false, "measure everything again and write docs/capacity.json and docs/CAPACITY.md")

const (
	pagePath = "../docs/CAPACITY.md"
	dataPath = "../docs/capacity.json"
)

func TestFit(t *testing.T) {
	s := slopes.Series{Points: []slopes.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}}}
	check.Equal(t, "at 10", s.At(10), 23.0)
}

// TestPage expects the tables of the page to match the recorded figures.
func TestPage(t *testing.T) {
	if *measure {
		measureAll(t)
	}
	text, err := os.ReadFile(dataPath)
	check.NoError(t, err)
	var d slopes.Data
	check.NoError(t, json.Unmarshal(text, &d))
	page, err := os.ReadFile(pagePath)
	check.NoError(t, err)
	check.Equal(t, "docs/CAPACITY.md; regenerate it with go test ./slopes -run TestPage -measure", string(page), d.FillPage(string(page)))
	for _, name := range slopes.SeriesOrder {
		if len(d.SeriesByName[name].Points) == 0 {
			t.Errorf("series %s was not measured", name)
		}
	}
}

func TestParts(t *testing.T) {
	if *parts == "" {
		t.Skip("no -parts")
	}
	got := map[string]slopes.Series{}
	for _, part := range strings.Split(*parts, ",") {
		switch part {
		case "nodes":
			check.NoError(t, slopes.Nodes(t.Context(), []int{10, 100, 370}, got))
		case "cores":
			check.NoError(t, slopes.Tables([]int{1000, 5000, 20_000}, got))
			check.NoError(t, slopes.Decisions([]int{10, 100, 600}, got))
		case "claims":
			check.NoError(t, slopes.Claims(t.Context(), []int{1, 16, 128}, got))
		case "path":
			check.NoError(t, slopes.RequestPath(t.Context(), got))
		}
	}
	t.Log("\n" + slopes.Data{SeriesByName: got}.Points(slopes.SeriesOrder))
}

func measureAll(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 9*time.Minute)
	defer cancel()
	d := slopes.Data{Machine: runtime.GOOS + "/" + runtime.GOARCH + ", 6 cores, everything on one machine", SeriesByName: map[string]slopes.Series{}}
	check.NoError(t, slopes.Nodes(ctx, []int{10, 100, 370}, d.SeriesByName))
	check.NoError(t, slopes.Tables([]int{1000, 5000, 20_000}, d.SeriesByName))
	check.NoError(t, slopes.Decisions([]int{10, 100, 600}, d.SeriesByName))
	slopes.Blocks([]int{10_000, 100_000, 1_000_000}, d.SeriesByName)
	check.NoError(t, slopes.Claims(ctx, []int{1, 16, 128}, d.SeriesByName))
	check.NoError(t, slopes.RequestPath(ctx, d.SeriesByName))
	text, err := d.Encode()
	check.NoError(t, err)
	check.NoError(t, os.WriteFile(dataPath, append(text, '\n'), 0o644))
	page, err := os.ReadFile(pagePath)
	check.NoError(t, err)
	check.NoError(t, os.WriteFile(pagePath, []byte(d.FillPage(string(page))), 0o644))
}
