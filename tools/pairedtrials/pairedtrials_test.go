package main

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestIntervalOfPairedDifferences(t *testing.T) {
	d := compare([]float64{0.70, 0.80, 0.75}, []float64{0.72, 0.82, 0.77})
	assert.Assert(t, math.Abs(d.mean-0.02) < 1e-9)
	assert.Assert(t, d.margin < 1e-9)
	assert.Equal(t, d.significance(), "more")
	// Differences of 1, 2 and 3: mean 2, deviation 1, Student's t with two degrees of freedom 4.3027.
	d = compare([]float64{0, 0, 0}, []float64{1, 2, 3})
	assert.Assert(t, math.Abs(d.margin-4.3027/math.Sqrt(3)) < 1e-3, "%v", d.margin)
	assert.Equal(t, d.significance(), "within noise")
	assert.Equal(t, d.up, 3)
}

func TestOnePairIsNotSignificant(t *testing.T) {
	d := compare([]float64{0.5}, []float64{0.9})
	assert.Equal(t, d.significance(), "within noise")
	assert.Equal(t, compare(nil, nil).significance(), "within noise")
}

func TestBuildArguments(t *testing.T) {
	builds, err := parseBuilds([]string{"a=/x", "b=/y"})
	assert.NilError(t, err)
	assert.Equal(t, builds[1], build{name: "b", folder: "/y"})
	for _, invalid := range []string{"a", "=x", "a="} {
		_, err := parseBuilds([]string{invalid})
		assert.ErrorContains(t, err, "NAME=FOLDER")
	}
}

func TestMechanismsAreDisabledInTheDeployFile(t *testing.T) {
	changed := disableMechanisms(`build = "go build -ldflags=-linkmode=external -o target/ ./cmd/pulleytier"`, "stall-detection,health-weights")
	assert.Equal(t, changed, `build = "go build -tags=ablation -ldflags='-linkmode=external `+
		`-X pulleygw.example/pulleygw/internal/tier/ablation.disabled=stall-detection,health-weights' -o target/ ./cmd/pulleytier"`)
}

func TestTableNamesSitesBuildsAndFigures(t *testing.T) {
	key := pairKey{site: "s", day: "d", seed: 1}
	results := map[string]map[pairKey]result{
		"old": {key: {Value: 0.5, Prices: [][]any{{"memory", 1.0, 0.25}}}},
		"new": {key: {Value: 0.75, Prices: [][]any{{"memory", 1.0, 0.125}}, Breaks: map[string]any{"TWICE": 1}}},
	}
	var table strings.Builder
	writeTable(&table, []build{{name: "old"}, {name: "new"}}, results)
	assert.Assert(t, strings.Contains(table.String(), "worth   0.5000 -> 0.7500  +0.2500"), table.String())
	assert.Assert(t, strings.Contains(table.String(), "prices  0.2500 -> 0.1250  -0.1250"), table.String())
	assert.Assert(t, strings.Contains(table.String(), `BROKEN new s d seed 1: map[TWICE:1]`), table.String())
}

func TestUnknownMechanismsAreRejected(t *testing.T) {
	assert.NilError(t, checkMechanisms([]string{"stall-detection", "health-weights+loss-avoidance"}))
	assert.ErrorContains(t, checkMechanisms([]string{"stall-detection", "health-weights+loss-avoid"}), `"loss-avoid"`)
}
