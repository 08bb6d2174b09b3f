package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of the confidence interval.
const confidence = 0.95

// difference summarizes the paired differences of one figure.
type difference struct {
	mean, margin float64 // margin is half the width of the confidence interval; infinite for fewer than two pairs
	up, down     int
	pairs        int
}

// compare summarizes by how much the second of each pair is greater than the first.
func compare(earlier, later []float64) difference {
	d := difference{pairs: len(earlier), margin: math.Inf(1)}
	differences := make([]float64, len(earlier))
	for i := range earlier {
		differences[i] = later[i] - earlier[i]
		switch {
		case differences[i] > 0:
			d.up++
		case differences[i] < 0:
			d.down++
		}
	}
	if len(differences) == 0 {
		return d
	}
	if len(differences) == 1 {
		d.mean = differences[0]
		return d
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	students := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(differences) - 1)}
	d.mean = mean
	d.margin = students.Quantile((1+confidence)/2) * deviation / math.Sqrt(float64(len(differences)))
	return d
}

// significance says whether the confidence interval excludes zero, and on which side.
func (d difference) significance() string {
	switch {
	case d.mean-d.margin > 0:
		return "more"
	case d.mean+d.margin < 0:
		return "less"
	}
	return "within noise"
}

// figures are the quantities by which builds are compared, under the names of the experiments' pages.
var figures = []struct {
	name string
	of   func(result) float64
}{
	{"worth", func(r result) float64 { return r.Value }},
	{"served", func(r result) float64 { return r.Served }},
	{"failed", func(r result) float64 { return r.Failed }},
	{"late", result.lateRate},
	{"prices", result.price},
}

// writeTable writes one line for each build, site and figure, and the violations of rules.
func writeTable(to io.Writer, builds []build, results map[string]map[pairKey]result) {
	base := results[builds[0].name]
	for _, site := range sites(base) {
		for _, later := range builds[1:] {
			keys := pairs(base, results[later.name], site)
			for _, figure := range figures {
				var before, after []float64
				for _, key := range keys {
					before = append(before, figure.of(base[key]))
					after = append(after, figure.of(results[later.name][key]))
				}
				d := compare(before, after)
				_, _ = fmt.Fprintf(to, "%-24s %-22s %-7s %.4f -> %.4f  %+.4f ±%.4f  up %d down %d of %d  %s\n", site, later.name,
					figure.name, stat.Mean(before, nil), stat.Mean(after, nil), d.mean, d.margin, d.up, d.down, d.pairs, d.significance())
			}
		}
	}
	writeViolations(to, results)
}

// writeViolations writes the trials that violated a rule.
func writeViolations(to io.Writer, results map[string]map[pairKey]result) {
	for _, name := range slices.Sorted(maps.Keys(results)) {
		for key, got := range results[name] {
			if len(got.Breaks) > 0 {
				_, _ = fmt.Fprintf(to, "BROKEN %s %s %s seed %d: %v\n", name, key.site, key.day, key.seed, got.Breaks)
			}
		}
	}
}

// sites returns the sites of the trials, sorted by name.
func sites(of map[pairKey]result) []string {
	found := map[string]bool{}
	for key := range of {
		found[key.site] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// pairs returns the trials of a site that both builds have, sorted.
func pairs(a, b map[pairKey]result, site string) []pairKey {
	var keys []pairKey
	for key := range a {
		if _, both := b[key]; both && key.site == site {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(x, y pairKey) int {
		return cmp.Or(cmp.Compare(x.day, y.day), cmp.Compare(x.seed, y.seed))
	})
	return keys
}
