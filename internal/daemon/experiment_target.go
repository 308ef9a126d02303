package daemon

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"otterchute/internal/schema"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"
)

// A target is worked out from the fits of experiments: the first one gives the
// line by its own variable, each further one adds what its variable costs above
// what the first had of it.

var targetFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"about":       {Kind: schema.Text, Max: 2000},
	"experiments": {Kind: schema.List, Required: true, Min: 1, Max: 20, Elem: &schema.Field{Kind: schema.Name}},
	"values":      {Kind: schema.Any, Required: true},
	"bounds":      {Kind: schema.Any},
}}

// estimated is a measure at the target with its standard error.
type estimated struct{ value, err float64 }

func (a estimated) plus(b estimated) estimated {
	return estimated{a.value + b.value, math.Hypot(a.err, b.err)}
}

func (a estimated) String() string {
	if a.err < 0.0005*math.Abs(a.value) || a.err == 0 {
		return strconv.FormatFloat(a.value, 'g', 4, 64)
	}
	return strconv.FormatFloat(a.value, 'g', 4, 64) + " ± " + strconv.FormatFloat(a.err, 'g', 2, 64)
}

// readFits reads an experiment's fits from its results.
func readFits(folder, name string) (sweep string, fits map[[2]string]fit, err error) {
	f, err := os.Open(filepath.Join(folder, name+".fit.csv"))
	if err != nil {
		return "", nil, errors.Wrap(errExperiment, err.Error())
	}
	defer f.Close()
	lines, err := csv.NewReader(f).ReadAll()
	if err != nil || len(lines) < 2 {
		return "", nil, errors.Wrapf(errExperiment, "%s: no fits", name)
	}
	fits = map[[2]string]fit{}
	for _, l := range lines[1:] {
		var v [5]float64
		for i := range v {
			if v[i], err = strconv.ParseFloat(l[4+i], 64); err != nil {
				return "", nil, errors.Wrap(errExperiment, err.Error())
			}
		}
		fits[[2]string{l[2], l[3]}] = fit{
			Role:    l[2],
			Measure: l[3],
			Base:    v[0],
			Slope:   v[1],
			StdErr:  v[2],
			Spread:  v[3],
			R2:      v[4],
		}
	}
	return lines[1][1], fits, nil
}

// perWorker are the roles whose load is that of one worker, not of all.
var perWorker = map[string]bool{roleAgent: true, wholeSide: true}

// atTarget works out every role's measures.
func atTarget(
	doc []byte,
	declared func(name string) (*experiment, error),
	folder string,
) (map[[2]string]estimated, error) {
	if f := schema.Check(doc, targetFields); len(f) > 0 {
		return nil, errors.Wrapf(errExperiment, "%s %s", f[0].Path, f[0].Reason)
	}
	root, out := gjson.ParseBytes(doc), map[[2]string]estimated{}
	value := func(name string) float64 { return root.Get("values." + name).Num }
	var base *experiment
	for i, name := range root.Get("experiments").Array() {
		e, err := declared(name.Str)
		if err != nil {
			return nil, err
		}
		sweep, fits, err := readFits(folder, name.Str)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			base = e
			for k, f := range fits {
				x := value(sweep)
				out[k] = estimated{f.at(x), math.Hypot(f.Spread, f.StdErr*x)}
			}
			continue
		}
		more := value(sweep) - float64(*experimentNumbers[sweep].of(base))
		for k, f := range fits {
			x := more
			if perWorker[k[0]] {
				x *= float64(e.Workers) / value("workers")
			}
			if k[1] != "holders" && k[0] != roleProcess { // what a message costs does not add up
				out[k] = out[k].plus(estimated{f.Slope * x, f.StdErr * math.Abs(x)})
			}
		}
	}
	return out, nil
}

// targetKinds are daemons by the roles they have; the last bears all at once.
var targetKinds = []struct {
	name  string
	roles []string
}{
	{"beside a worker", []string{roleEvery, roleAgent}},
	{"takes calls only", []string{roleEvery, roleFront}},
	{"core member", []string{roleEvery, roleCore, roleFront}},
	{"slice owner", []string{roleEvery, roleOwner, roleLocal, roleFront}},
	{"central scheduler", []string{roleEvery, roleCentral, roleFront}},
	{"all of these at once", []string{roleEvery, roleCore, roleOwner, roleLocal, roleCentral, roleFront}},
}

// tellTarget prints the target's tables, ready for a page.
func tellTarget(path, folder string, out io.Writer) error {
	doc, err := readDoc(path)
	if err != nil {
		return errors.Wrap(errExperiment, err.Error())
	}
	at, err := atTarget(doc, func(name string) (*experiment, error) {
		doc, err := readDoc(filepath.Join(filepath.Dir(path), name+".json"))
		if err != nil {
			return nil, errors.Wrap(errExperiment, err.Error())
		}
		e, faults := readExperiment(name, doc)
		if len(faults) > 0 {
			return nil, errors.Wrapf(errExperiment, "%s: %s %s", name, faults[0].Path, faults[0].Reason)
		}
		return e, nil
	}, folder)
	if err != nil {
		return err
	}
	measures := []string{
		"in_msgs_s",
		"out_msgs_s",
		"in_bytes_s",
		"out_bytes_s",
		"cpu_pct",
		"syncs_s",
		"commits_s",
		"state_bytes",
	}
	fmt.Fprintf(out, "| role | %s |\n|%s\n", strings.Join(measures, " | "), strings.Repeat(" --- |", len(measures)+1))
	for _, role := range allRoles[:7] {
		fmt.Fprintf(out, "| %s |", role)
		for _, m := range measures {
			if v, ok := at[[2]string{role, m}]; ok {
				fmt.Fprintf(out, " %s |", v)
			} else {
				fmt.Fprint(out, " |")
			}
		}
		fmt.Fprintln(out)
	}
	bounds := gjson.GetBytes(doc, "bounds")
	message := at[[2]string{roleProcess, "message_us"}]
	fmt.Fprintf(out, "\nA message costs %s us beside the control thread's time, at each end.\n", message)
	fmt.Fprint(
		out,
		"\n| daemon | control thread, % of a core | with messages | of the bound | KB/s out | of the bound | KB/s in | messages/s, both ways | state, KB |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
	)
	for _, d := range targetKinds {
		sum := map[string]estimated{}
		for _, role := range d.roles {
			for _, m := range measures {
				sum[m] = sum[m].plus(at[[2]string{role, m}])
			}
		}
		kb := func(m string) estimated { return estimated{sum[m].value / 1000, sum[m].err / 1000} }
		msgs := sum["in_msgs_s"].plus(sum["out_msgs_s"])
		all := sum["cpu_pct"].plus(
			estimated{msgs.value * message.value / 1e4, math.Hypot(msgs.err*message.value, msgs.value*message.err) / 1e4},
		)
		fmt.Fprintf(
			out,
			"| %s | %s | %s | %.2g | %s | %.2g | %s | %s | %s |\n",
			d.name,
			sum["cpu_pct"],
			all,
			all.value/bounds.Get("cpu_pct").Num,
			kb("out_bytes_s"),
			sum["out_bytes_s"].value/bounds.Get("bytes_s").Num,
			kb("in_bytes_s"),
			msgs,
			kb("state_bytes"),
		)
	}
	return nil
}
