// Package reporter computes the service quality that callers got in a run, and
// prints it as a table or as JSON.
//
// # Usage
//
//	rp := reporter.New(history, disruptions)
//	rp.WriteTable(os.Stdout)
//	err := rp.WriteJSON(os.Stdout)
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cornellanding.example/bench/checker"
	"cornellanding.example/bench/loader"
	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatency and maxLatency bound the histogram of latencies, in
	// microseconds.
	minLatency        = 1
	maxLatency        = 60_000_000
	significantDigits = 3
	// lateLatency is the latency above which an answered request counts as late
	// because of a disruption. Requests whose owner is up are answered sooner.
	lateLatency = 100 * time.Millisecond
	// disruptionWindow is how long after a disruption requests are attributed
	// to it.
	disruptionWindow = 5 * time.Second
	// codeRate and codeNoLimits are the refusal codes of the workspaces'
	// limits.
	codeRate     = "rateExceeded"
	codeNoLimits = "limitsUnavailable"
)

// Disruption is a deliberate loss of an owner, or another planned change of
// owners.
type Disruption struct {
	Name string
	At   time.Time
	// Affected reports whether a key of a service changed its owner or had the
	// lost one.
	Affected func(service, key string) bool
	// MovedPartitions counts the partitions that changed owner, and
	// NeededPartitions those that had to.
	MovedPartitions  int
	NeededPartitions int
}

// Latency holds the latency percentiles of a service's answered requests, in
// milliseconds.
type Latency struct {
	Service string  `json:"service"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50Ms"`
	P99     float64 `json:"p99Ms"`
	P999    float64 `json:"p999Ms"`
	Max     float64 `json:"maxMs"`
}

// DisruptionEffect is the effect of a disruption on callers.
type DisruptionEffect struct {
	Name string `json:"what"`
	// UnavailableMs is the time in milliseconds from the disruption to the end of
	// the last affected request that failed or was late, or 0 if there is none.
	UnavailableMs    float64 `json:"unavailableMs"`
	Affected         int     `json:"affectedRequests"`
	Failed           int     `json:"failedRequests"`
	MovedPartitions  int     `json:"movedPartitions"`
	NeededPartitions int     `json:"neededPartitions"`
	// LastAffected describes the affected request that failed or was late last.
	LastAffected string `json:"last"`
}

// Fairness is the service that one workspace got. Answered is a share from 0 to
// 1, and P99 the 99th percentile latency of the answered requests in
// milliseconds.
type Fairness struct {
	Workspace string  `json:"workspace"`
	Requests  int     `json:"requests"`
	Answered  float64 `json:"answeredShare"`
	P99       float64 `json:"p99Ms"`
}

// Report holds the results of a run. Duplicates and Lost count violations of
// invariants 9 and 2. WrongfulRefusals counts refusals by the workspaces'
// limits, which a load within the limits must not get. Imbalance is the load of
// the busiest backend server relative to the mean of its service.
type Report struct {
	Requests         int                 `json:"requests"`
	Outcomes         map[string]int      `json:"outcomes"`
	Codes            map[string]int      `json:"codes"`
	Duplicates       int                 `json:"duplicates"`
	Lost             int                 `json:"lost"`
	Latencies        []Latency           `json:"latencies"`
	Disruptions      []DisruptionEffect  `json:"losses"`
	Imbalance        float64             `json:"imbalance"`
	WrongfulRefusals int                 `json:"wrongfulRefusals"`
	WorstServed      Fairness            `json:"worstServed"`
	Violations       []checker.Violation `json:"violations"`
}

// New checks the invariants and computes the report of a run.
func New(hi checker.History, losses []Disruption) Report {
	rp := NewCallerReport(hi)
	rp.Violations = checker.Check(hi)
	rp.countViolations()
	for _, lo := range losses {
		rp.Disruptions = append(rp.Disruptions, effect(lo, hi.Results))
	}
	rp.Imbalance = imbalance(hi)
	return rp
}

// NewCallerReport computes the part of a report that needs only the callers'
// results, not the records of backend servers.
func NewCallerReport(hi checker.History) Report {
	rp := Report{Requests: len(hi.Results), Outcomes: map[string]int{}, Codes: map[string]int{}}
	for _, re := range hi.Results {
		rp.Outcomes[string(re.Outcome)]++
		if re.Code != "" {
			rp.Codes[re.Code]++
		}
		if re.Code == codeRate || re.Code == codeNoLimits {
			rp.WrongfulRefusals++
		}
	}
	rp.Latencies = latencies(hi.Results)
	rp.WorstServed = worstServed(hi.Results)
	return rp
}

func (rp *Report) countViolations() {
	for _, vi := range rp.Violations {
		switch vi.Invariant {
		case 2:
			rp.Lost++
		case 9:
			rp.Duplicates++
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

func record(hg *hdrhistogram.Histogram, re loader.Result) {
	// Latencies above the range are recorded as maxLatency.
	_ = hg.RecordValue(min(maxLatency, re.Latency.Microseconds()))
}

func latencies(results []loader.Result) []Latency {
	byService := map[string]*hdrhistogram.Histogram{}
	for _, re := range results {
		if re.Outcome != loader.Answered {
			continue
		}
		if byService[re.Service] == nil {
			byService[re.Service] = newHistogram()
		}
		record(byService[re.Service], re)
	}
	var list []Latency
	for service, hg := range byService {
		list = append(list, Latency{
			Service: service, Count: hg.TotalCount(), P50: millis(hg, 50), P99: millis(hg, 99), P999: millis(hg, 99.9),
			Max: float64(hg.Max()) / 1000,
		})
	}
	slices.SortFunc(list, func(le, ri Latency) int { return int(ri.Count - le.Count) })
	return list
}

func millis(hg *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(hg.ValueAtQuantile(percentile)) / 1000
}

// effect finds the last affected request that failed or was late after a
// disruption. Its end is the end of the unavailability.
func effect(lo Disruption, results []loader.Result) DisruptionEffect {
	ef := DisruptionEffect{Name: lo.Name, MovedPartitions: lo.MovedPartitions, NeededPartitions: lo.NeededPartitions}
	for _, re := range results {
		isNear := re.EndedAt().After(lo.At) && re.StartedAt.Before(lo.At.Add(disruptionWindow))
		if !isNear || !lo.Affected(re.Service, re.Key) {
			continue
		}
		ef.Affected++
		isFailed := re.Outcome != loader.Answered
		if isFailed {
			ef.Failed++
		}
		endedMs := float64(re.EndedAt().Sub(lo.At).Milliseconds())
		if (isFailed || re.Latency > lateLatency) && endedMs > ef.UnavailableMs {
			ef.UnavailableMs = endedMs
			ef.LastAffected = fmt.Sprintf("%s of %s, %s %s after %v", re.Route, re.Workspace, re.Outcome, re.Code, re.Latency.Round(time.Millisecond))
		}
	}
	return ef
}

// imbalance returns the number of requests of the busiest backend server
// relative to the mean of its service, for the service where it is highest.
func imbalance(hi checker.History) float64 {
	total, count, most := map[string]int{}, map[string]int{}, map[string]int{}
	for _, se := range hi.Servers {
		total[se.Service] += len(se.Records)
		count[se.Service]++
		most[se.Service] = max(most[se.Service], len(se.Records))
	}
	worst := 0.0
	for service := range total {
		mean := float64(total[service]) / float64(count[service])
		worst = max(worst, float64(most[service])/max(mean, 1))
	}
	return worst
}

func worstServed(results []loader.Result) Fairness {
	byWorkspace := map[string][]loader.Result{}
	for _, re := range results {
		byWorkspace[re.Workspace] = append(byWorkspace[re.Workspace], re)
	}
	found := Fairness{Answered: 2}
	for ws, list := range byWorkspace {
		hg, answered := newHistogram(), 0
		for _, re := range list {
			if re.Outcome == loader.Answered {
				answered++
				record(hg, re)
			}
		}
		fa := Fairness{Workspace: ws, Requests: len(list), Answered: float64(answered) / float64(len(list)), P99: millis(hg, 99)}
		isWorse := fa.Answered < found.Answered || fa.Answered == found.Answered && fa.P99 > found.P99
		if isWorse {
			found = fa
		}
	}
	return found
}

// WriteJSON writes the report as indented JSON.
func (rp Report) WriteJSON(wr io.Writer) error {
	en := json.NewEncoder(wr)
	en.SetIndent("", "  ")
	return en.Encode(rp)
}

// WriteTable writes the report as a table for people to read.
func (rp Report) WriteTable(wr io.Writer) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "requests\t%d\n", rp.Requests)
	for _, name := range sortedKeys(rp.Outcomes) {
		fmt.Fprintf(tw, "  %s\t%d\n", name, rp.Outcomes[name])
	}
	for _, name := range sortedKeys(rp.Codes) {
		fmt.Fprintf(tw, "  refused: %s\t%d\n", name, rp.Codes[name])
	}
	fmt.Fprintf(tw, "duplicates\t%d\nlost\t%d\nwrongful refusals\t%d\nimbalance\t%.2f\n", rp.Duplicates, rp.Lost, rp.WrongfulRefusals, rp.Imbalance)
	fmt.Fprintf(tw, "worst served\t%s: %.2f%% answered, p99 %.1f ms\n", rp.WorstServed.Workspace, 100*rp.WorstServed.Answered, rp.WorstServed.P99)
	for _, la := range rp.Latencies {
		fmt.Fprintf(tw, "%s\t%d answers, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms\n", la.Service, la.Count, la.P50, la.P99, la.P999, la.Max)
	}
	for _, lo := range rp.Disruptions {
		fmt.Fprintf(tw, "%s\tunavailable %.0f ms, %d of %d affected requests failed, %d partitions moved, %d needed\n",
			lo.Name, lo.UnavailableMs, lo.Failed, lo.Affected, lo.MovedPartitions, lo.NeededPartitions)
		if lo.LastAffected != "" {
			fmt.Fprintf(tw, "  last late\t%s\n", lo.LastAffected)
		}
	}
	fmt.Fprintf(tw, "invariants broken\t%d\n", len(rp.Violations))
	for _, vi := range rp.Violations {
		fmt.Fprintf(tw, "  %s\n", vi)
	}
	return tw.Flush()
}

func sortedKeys(counts map[string]int) []string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
