package daemon

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// row is one measured number.
type row struct {
	Size, Seed    int64
	Role, Measure string
	Value         float64
}

// kindRow is a role's traffic in one kind of message, for each daemon that has the role.
type kindRow struct {
	Size, Seed    int64
	Flow          flow
	MsgsS, BytesS float64
}

// summary turns what the meters showed before and after into rows.
type summary struct {
	e                     *experiment
	size, seed            int64
	seconds               float64
	before, after, states []reading
	callers               *callers
}

func (s *summary) rows(cpu time.Duration, heap float64, running int) (out []row, kinds []kindRow) {
	put := func(role, measure string, v float64) { out = append(out, row{s.size, s.seed, role, measure, v}) }
	flows, control, messages := map[flow]tally{}, time.Duration(0), int64(0)
	spent, state, holders := map[string]time.Duration{}, map[string]int64{}, map[string]float64{}
	type total struct{ in, out tally }
	whole := func(role string, n float64, t total, spent time.Duration) {
		if n == 0 {
			return
		}
		for m, v := range map[string]int64{"in_msgs_s": t.in.N, "in_bytes_s": t.in.Bytes, "out_msgs_s": t.out.N, "out_bytes_s": t.out.Bytes} {
			put(role, m, float64(v)/n/s.seconds)
		}
		put(role, "cpu_pct", 100*spent.Seconds()/n/s.seconds)
	}
	totals, times := map[string]total{}, map[string]time.Duration{}
	var most total
	var longest time.Duration
	count := func(name string) (sum float64) {
		for i := range s.after {
			sum += float64(max(0, s.after[i].counts[name]-s.before[i].counts[name]))
		}
		return sum
	}
	for i, a := range s.after {
		b := s.before[i]
		if !a.live || !b.live || a.counts["messages_in"] < b.counts["messages_in"] {
			continue // it was killed meanwhile: its counts began anew
		}
		kind, own, ownTime := wholeEdge, total{}, time.Duration(0)
		if i >= int(s.e.Daemons) {
			kind = wholeSide
		}
		for k, t := range a.flows {
			d := tally{t.N - b.flows[k].N, t.Bytes - b.flows[k].Bytes}
			k.Role = orDefault(a, k.Role)
			flows[k] = flows[k].plus(d)
			messages += d.N
			if k.Out {
				own.out = own.out.plus(d)
			} else {
				own.in = own.in.plus(d)
			}
		}
		for role, d := range a.spent {
			spent[orDefault(a, role)] += d - b.spent[role]
			ownTime += d - b.spent[role]
		}
		control += ownTime
		holders[kind]++
		totals[kind] = total{totals[kind].in.plus(own.in), totals[kind].out.plus(own.out)}
		times[kind] += ownTime
		most = total{most.in.most(own.in), most.out.most(own.out)}
		longest = max(longest, ownTime)
		for role, held := range a.roles {
			if held {
				holders[role]++
				state[role] += s.states[i].state[role]
			}
		}
	}
	whole(busiest, 1, most, longest)
	for _, role := range []string{wholeEdge, wholeSide} {
		whole(role, holders[role], totals[role], times[role])
	}
	for _, role := range allRoles[:slices.Index(allRoles, wholeEdge)] {
		n := holders[role]
		put(role, "holders", n)
		if n == 0 {
			continue
		}
		sums := map[string]float64{}
		for k, t := range flows {
			if k.Role != role || t.N == 0 {
				continue
			}
			way := map[bool]string{false: "in", true: "out"}[k.Out]
			sums[way+"_msgs_s"] += float64(t.N)
			sums[way+"_bytes_s"] += float64(t.Bytes)
			kinds = append(kinds, kindRow{s.size, s.seed, k, float64(t.N) / n / s.seconds, float64(t.Bytes) / n / s.seconds})
		}
		for _, m := range []string{"in_msgs_s", "out_msgs_s", "in_bytes_s", "out_bytes_s"} {
			put(role, m, sums[m]/n/s.seconds)
		}
		put(role, "cpu_pct", 100*spent[role].Seconds()/n/s.seconds)
		if role == roleCore {
			put(role, "syncs_s", count("syncs")/n/s.seconds)
		}
		if role == roleOwner {
			put(role, "commits_s", count("commits")/n/s.seconds)
		}
		put(role, "state_bytes", float64(state[role])/n)
	}
	daemons, c := float64(len(s.after)), s.callers
	put(roleProcess, "daemons", daemons)
	put(roleProcess, "cpu_pct", 100*cpu.Seconds()/daemons/s.seconds)
	put(roleProcess, "control_pct", 100*control.Seconds()/daemons/s.seconds)
	put(roleProcess, "message_us", float64((cpu-control).Microseconds())/float64(max(1, messages)))
	put(roleProcess, "heap_bytes", heap/daemons)
	put(roleProcess, "rss_mb", residentMB())
	put(roleProcess, "running", float64(running))
	c.mu.Lock()
	defer c.mu.Unlock()
	put(roleProcess, "starts_s", float64(c.starts)/s.seconds)
	put(roleProcess, "failed_calls", float64(c.failed))
	if c.waits.TotalCount() > 0 {
		put(roleProcess, "start_p50_ms", float64(c.waits.ValueAtQuantile(50)))
		put(roleProcess, "start_p99_ms", float64(c.waits.ValueAtQuantile(99)))
		put(roleProcess, "start_max_ms", float64(c.waits.Max()))
	}
	if c.forces.TotalCount() > 0 {
		put(roleProcess, "force_p50_ms", float64(c.forces.ValueAtQuantile(50)))
		put(roleProcess, "force_max_ms", float64(c.forces.Max()))
	}
	return out, kinds
}

// orDefault gives a role if its daemon has it: what others do of it, such as to look
// whether there is work, is part of what every daemon costs.
func orDefault(r reading, role string) string {
	if r.roles[role] {
		return role
	}
	return roleEvery
}

// fit is a straight line through a measure's values at the sizes of a sweep.
type fit struct {
	Role, Measure  string
	Base, Slope    float64
	StdErr, Spread float64 // standard errors: of the slope, and of a value about the line
	R2             float64
	Points         int
	Largest        int64
}

// leastSquares fits a line.
//
// Example: f := leastSquares([]float64{1, 2, 3}, []float64{2, 4, 6}) // slope 2
func leastSquares(x, y []float64) (f fit) {
	n := float64(len(x))
	var mx, my, sxx, sxy, syy float64
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	for i := range x {
		sxx, sxy, syy = sxx+(x[i]-mx)*(x[i]-mx), sxy+(x[i]-mx)*(y[i]-my), syy+(y[i]-my)*(y[i]-my)
	}
	f.Points, f.Base = len(x), my
	if sxx == 0 {
		return f
	}
	f.Slope = sxy / sxx
	f.Base = my - f.Slope*mx
	rest := max(0, syy-f.Slope*sxy)
	if n > 2 {
		f.Spread = math.Sqrt(rest / (n - 2))
		f.StdErr = f.Spread / math.Sqrt(sxx)
	}
	if syy > 0 {
		f.R2 = 1 - rest/syy
	}
	return f
}

func (f fit) at(size float64) float64 { return f.Base + f.Slope*size }

// series gives a measure's values by size.
func series(rows []row, role, measure string) (x, y []float64) {
	for _, r := range rows {
		if r.Role == role && r.Measure == measure {
			x, y = append(x, float64(r.Size)), append(y, r.Value)
		}
	}
	return x, y
}

func fitsOf(rows []row) (out []fit) {
	each(func(role, measure string) {
		x, y := series(rows, role, measure)
		if len(x) == 0 {
			return
		}
		f := leastSquares(x, y)
		f.Role, f.Measure, f.Largest = role, measure, int64(slices.Max(x))
		out = append(out, f)
	})
	return out
}

func each(do func(role, measure string)) {
	for _, role := range allRoles {
		for _, m := range roleMeasures {
			do(role, m)
		}
	}
	for _, m := range processMeasures {
		do(roleProcess, m)
	}
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) }

func writeCSV(path string, head []string, lines [][]string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write(head)
	if err := w.WriteAll(lines); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	return nil
}

// report writes an experiment's tables and plots into a folder and prints the fits.
func report(e *experiment, rows []row, kinds []kindRow, folder string, out io.Writer) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	var lines [][]string
	for _, r := range rows {
		lines = append(
			lines,
			[]string{e.Name, e.Sweep, fmt.Sprint(r.Size), fmt.Sprint(r.Seed), r.Role, r.Measure, number(r.Value)},
		)
	}
	if err := writeCSV(
		filepath.Join(folder, e.Name+".csv"),
		[]string{"experiment", "sweep", "size", "seed", "role", "measure", "value"},
		lines,
	); err != nil {
		return err
	}
	slices.SortFunc(kinds, func(a, b kindRow) int {
		return strings.Compare(
			fmt.Sprintf("%6d %3d %v", a.Size, a.Seed, a.Flow),
			fmt.Sprintf("%6d %3d %v", b.Size, b.Seed, b.Flow),
		)
	})
	lines = nil
	for _, k := range kinds {
		way := map[bool]string{false: "in", true: "out"}[k.Flow.Out]
		lines = append(
			lines,
			[]string{
				e.Name,
				e.Sweep,
				fmt.Sprint(k.Size),
				fmt.Sprint(k.Seed),
				k.Flow.Role,
				k.Flow.Kind,
				way,
				number(k.MsgsS),
				number(k.BytesS),
			},
		)
	}
	if err := writeCSV(
		filepath.Join(folder, e.Name+".kinds.csv"),
		[]string{"experiment", "sweep", "size", "seed", "role", "kind", "way", "msgs_s", "bytes_s"},
		lines,
	); err != nil {
		return err
	}
	lines = nil
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(
		tab,
		"role\tmeasure\tat %d\tat %d\tbase\tslope per %s\tstd err\tR2\n",
		e.Sizes[0],
		e.Sizes[len(e.Sizes)-1],
		e.Sweep,
	)
	for _, f := range fitsOf(rows) {
		lines = append(
			lines,
			[]string{
				e.Name,
				e.Sweep,
				f.Role,
				f.Measure,
				number(f.Base),
				number(f.Slope),
				number(f.StdErr),
				number(f.Spread),
				number(f.R2),
				fmt.Sprint(f.Points),
				fmt.Sprint(f.Largest),
			},
		)
		mean := func(size int64) string {
			sum, n := 0.0, 0.0
			for _, r := range rows {
				if r.Size == size && r.Role == f.Role && r.Measure == f.Measure {
					sum, n = sum+r.Value, n+1
				}
			}
			if n == 0 {
				return "-"
			}
			return number(sum / n)
		}
		fmt.Fprintf(
			tab,
			"%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.3f\n",
			f.Role,
			f.Measure,
			mean(e.Sizes[0]),
			mean(e.Sizes[len(e.Sizes)-1]),
			number(f.Base),
			number(f.Slope),
			number(f.StdErr),
			f.R2,
		)
	}
	_ = tab.Flush()
	if err := writeCSV(
		filepath.Join(folder, e.Name+".fit.csv"),
		[]string{"experiment", "sweep", "role", "measure", "base", "slope", "slope_err", "spread", "r2", "points", "largest"},
		lines,
	); err != nil {
		return err
	}
	for _, m := range []string{"cpu_pct", "out_bytes_s", "in_msgs_s"} {
		if err := draw(e, rows, m, filepath.Join(folder, e.Name+"-"+m+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// draw plots one measure of all roles over the sizes of a sweep.
func draw(e *experiment, rows []row, measure, path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = e.Name, e.Sweep, measure+" per daemon with the role"
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, role := range allRoles {
		x, y := series(rows, role, measure)
		if len(x) == 0 {
			continue
		}
		points := make(plotter.XYs, len(x))
		for i := range x {
			points[i] = plotter.XY{X: x[i], Y: y[i]}
		}
		slices.SortFunc(points, func(a, b plotter.XY) int { return int(a.X - b.X) })
		args = append(args, role, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	return nil
}
