package daemon

import (
	"cmp"
	"flag"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"otterchute/internal/membership"
	"otterchute/internal/scheduler"
	"otterchute/internal/schema"
	"otterchute/platform"

	"github.com/go-faster/errors"
	"github.com/tidwall/gjson"
)

const (
	keepHoursDef = 24     // hours a finished job is kept; callers check states within a day
	holdMostMs   = 10_000 // defaults of what a platform bounds: see docs/settings.md
	gangWaitMs   = 3000
	saveMs       = 1000
	restoreMs    = 250
)

// settings are a daemon's place and its few choices, from a JSON file, from
// flags, or both; a flag wins.
type settings struct {
	Name        string
	Addr        string
	HTTP        string
	Zone        string
	Seeds       []string
	Data        string
	KeepHours   int64
	ThresholdMs int64
	KLowest     int64
	TargetSigma float64
	LogLevel    string

	CoreSize     int64
	FirstStart   bool
	Colocated    bool
	MaxHoldMs    int64
	GangWaitMs   int64
	SaveMs       int64
	RestoreMs    int64
	SpreadFactor float64

	// From the platform alone; 0 where it says nothing.
	MemoryMb   int64
	MilliCores int64
	LinkMbps   int64

	Policies scheduler.Set     // those switched off
	adapter  *platform.Adapter // nil without a platform
}

var settingsFields = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"name": {
		Kind: schema.Name,
	},
	"addr":         {Kind: schema.String, Min: 1, Max: 100},
	"http":         {Kind: schema.String, Min: 1, Max: 100},
	"site":         {Kind: schema.Name},
	"seeds":        {Kind: schema.List, Min: 1, Max: 16, Elem: &schema.Field{Kind: schema.String, Min: 1, Max: 100}},
	"data":         {Kind: schema.String, Max: 4096},
	"keep_hours":   {Kind: schema.Integer, Min: 1, Max: 24 * 366},
	"threshold_ms": {Kind: schema.Integer, Min: -1, Max: msPerHour},
	"k_lowest": {
		Kind: schema.Integer,
		Min:  0,
		Max:  10_000,
	},
	"target_sigma": {Kind: schema.Number},
	"log_level":    {Kind: schema.Name},
	"beside":       {Kind: schema.Bool},
	"core_size":    {Kind: schema.Integer, Min: 1, Max: 99},
	"first_start":  {Kind: schema.Bool},
	"hold_most_ms": {
		Kind: schema.Integer,
		Min:  1,
		Max:  msPerHour,
	},
	"gang_wait_ms": {Kind: schema.Integer, Min: 1, Max: msPerHour},
	"save_ms": {
		Kind: schema.Integer,
		Min:  1,
		Max:  msPerHour,
	},
	"restore_ms":    {Kind: schema.Integer, Min: 0, Max: msPerHour},
	"spread_factor": {Kind: schema.Number},
}}

func defaultSettings() settings {
	return settings{
		KeepHours:    keepHoursDef,
		ThresholdMs:  thresholdMs,
		TargetSigma:  2,
		LogLevel:     "info",
		CoreSize:     membership.DefaultSize,
		FirstStart:   true,
		MaxHoldMs:    holdMostMs,
		GangWaitMs:   gangWaitMs,
		SaveMs:       saveMs,
		RestoreMs:    restoreMs,
		SpreadFactor: 1.5,
	}
}

// settingReaders puts each known key of the file into its place.
var settingReaders = map[string]func(*settings, gjson.Result){
	"name": func(s *settings, v gjson.Result) { s.Name = v.Str },
	"addr": func(s *settings, v gjson.Result) { s.Addr = v.Str },
	"http": func(s *settings, v gjson.Result) { s.HTTP = v.Str },
	"site": func(s *settings, v gjson.Result) { s.Zone = v.Str },
	"data": func(s *settings, v gjson.Result) { s.Data = v.Str },
	"seeds": func(s *settings, v gjson.Result) {
		s.Seeds = nil
		for _, e := range v.Array() {
			s.Seeds = append(s.Seeds, e.Str)
		}
	},
	"keep_hours":   func(s *settings, v gjson.Result) { s.KeepHours = v.Int() },
	"threshold_ms": func(s *settings, v gjson.Result) { s.ThresholdMs = v.Int() },
	"k_lowest":     func(s *settings, v gjson.Result) { s.KLowest = v.Int() },
	"target_sigma": func(s *settings, v gjson.Result) { s.TargetSigma = v.Num },
	"log_level":    func(s *settings, v gjson.Result) { s.LogLevel = v.Str },

	"core_size":     func(s *settings, v gjson.Result) { s.CoreSize = v.Int() },
	"first_start":   func(s *settings, v gjson.Result) { s.FirstStart = v.Bool() },
	"beside":        func(s *settings, v gjson.Result) { s.Colocated = v.Bool() },
	"hold_most_ms":  func(s *settings, v gjson.Result) { s.MaxHoldMs = v.Int() },
	"gang_wait_ms":  func(s *settings, v gjson.Result) { s.GangWaitMs = v.Int() },
	"save_ms":       func(s *settings, v gjson.Result) { s.SaveMs = v.Int() },
	"restore_ms":    func(s *settings, v gjson.Result) { s.RestoreMs = v.Int() },
	"spread_factor": func(s *settings, v gjson.Result) { s.SpreadFactor = v.Num },
}

// settingsFlags binds the flags of `otterchute run`.
type settingsFlags struct {
	off                                              string
	file, name, addr, http, zone, seeds, data, level string
	keep, threshold, k                               int64
	sigma                                            float64
	beside                                           bool
	core, hold, gang, save, restore                  int64
	first                                            bool
	spread                                           float64
}

func (f *settingsFlags) bind(fs *flag.FlagSet) {
	d := defaultSettings()
	fs.StringVar(&f.file, "settings", "", "JSON settings file; flags win over it")
	fs.StringVar(&f.name, "name", "", "this daemon's name, unique in the fleet")
	fs.StringVar(&f.addr, "addr", "", "IP:port for other daemons")
	fs.StringVar(&f.http, "http", "", "IP:port for callers, workers and operators")
	fs.StringVar(&f.zone, "site", "", "site (zone) this daemon stands in")
	fs.StringVar(&f.seeds, "seeds", "", "addresses of three other daemons, parted by commas")
	fs.StringVar(&f.data, "data", "", "data folder; only for machines that hold the state")
	fs.StringVar(&f.level, "log-level", d.LogLevel, "info or debug")
	fs.Int64Var(&f.keep, "keep-hours", d.KeepHours, "hours a finished job is kept")
	fs.Int64Var(
		&f.threshold,
		"threshold-ms",
		d.ThresholdMs,
		"learned run times below this are queueable; 0 makes all guaranteed, -1 all queueable",
	)
	fs.Int64Var(
		&f.k,
		"k-lowest",
		d.KLowest,
		"how many lowest-ranked workers a queueable task is drawn among; 0 for a quarter of the allowed ones, 3 to 50",
	)
	fs.Float64Var(&f.sigma, "target-sigma", d.TargetSigma, "the delay target is the mean rank plus this many deviations")
	fs.Int64Var(&f.core, "core-size", d.CoreSize, "disks that hold the state; an even number counts as the odd one below")
	fs.BoolVar(
		&f.first,
		"first-start",
		d.FirstStart,
		"the whole fleet starts for the first time: empty disks may form a core",
	)
	fs.BoolVar(&f.beside, "beside", false, "this machine stands beside a worker: it takes no duty of the fleet's")
	fs.Int64Var(&f.hold, "hold-most-ms", d.MaxHoldMs, "the longest a worker holds its runs after one answer to its beat")
	fs.Int64Var(&f.gang, "gang-wait-ms", d.GangWaitMs, "how long a member of a gang waits for the others")
	fs.Int64Var(&f.save, "save-ms", d.SaveMs, "a run that saves does so after this much work")
	fs.Int64Var(&f.restore, "restore-ms", d.RestoreMs, "what a start from a saved state takes longer")
	fs.Float64Var(&f.spread, "spread-factor", d.SpreadFactor, "how much longer work takes away from its rack")
	fs.StringVar(&f.off, "disable-policy", "", "for trials: scheduling policies to switch off, parted by commas")
}

// load reads the file, lays the given flags over it and checks all.
func (f *settingsFlags) load(fs *flag.FlagSet) (settings, error) {
	s := defaultSettings()
	switch a, err := loadPlatform(f.file); {
	case err != nil:
		return s, errors.Wrapf(errSettings, "platform: %v", err)
	case a != nil:
		s.adapter = a
		s.take(a.DaemonSettings())
	}
	if f.file != "" {
		doc, err := os.ReadFile(f.file)
		if err != nil {
			return s, errors.Wrapf(errSettings, "settings: %v", err)
		}
		if faults := schema.Check(doc, settingsFields); len(faults) > 0 {
			return s, errors.Wrapf(errSettings, "%s: %s", orText(faults[0].Path, f.file), faults[0].Reason)
		}
		gjson.ParseBytes(doc).ForEach(func(k, v gjson.Result) bool {
			settingReaders[k.Str](&s, v)
			return true
		})
	}
	over := map[string]func(){
		"name":          func() { s.Name = f.name },
		"addr":          func() { s.Addr = f.addr },
		"http":          func() { s.HTTP = f.http },
		"site":          func() { s.Zone = f.zone },
		"seeds":         func() { s.Seeds = strings.Split(f.seeds, ",") },
		"data":          func() { s.Data = f.data },
		"log-level":     func() { s.LogLevel = f.level },
		"keep-hours":    func() { s.KeepHours = f.keep },
		"threshold-ms":  func() { s.ThresholdMs = f.threshold },
		"k-lowest":      func() { s.KLowest = f.k },
		"target-sigma":  func() { s.TargetSigma = f.sigma },
		"core-size":     func() { s.CoreSize = f.core },
		"first-start":   func() { s.FirstStart = f.first },
		"beside":        func() { s.Colocated = f.beside },
		"hold-most-ms":  func() { s.MaxHoldMs = f.hold },
		"gang-wait-ms":  func() { s.GangWaitMs = f.gang },
		"save-ms":       func() { s.SaveMs = f.save },
		"restore-ms":    func() { s.RestoreMs = f.restore },
		"spread-factor": func() { s.SpreadFactor = f.spread },
	}
	fs.Visit(func(fl *flag.Flag) {
		if set, ok := over[fl.Name]; ok {
			set()
		}
	})
	var err error
	if s.Policies, err = scheduler.ParseSet(f.off); err != nil {
		return s, badSetting("disable-policy", err.Error())
	}
	return s, s.check()
}

// loadPlatform finds the platform that this process runs on, if no settings
// file says otherwise.
func loadPlatform(file string) (*platform.Adapter, error) {
	if file != "" {
		return nil, nil
	}
	return platform.Load()
}

// take fills in what the platform says of this process. What it leaves out
// stays as it is by default.
func (s *settings) take(p platform.DaemonSettings) {
	s.Name, s.Addr, s.HTTP, s.Zone, s.Data, s.Seeds = p.Name, p.Addr, p.HTTP, p.Zone, p.DataDirectory, p.Seeds
	s.FirstStart, s.MemoryMb = p.FirstStart, p.MemoryMb
	s.MilliCores, s.LinkMbps = p.MilliCores, p.LinkMbps
	s.CoreSize = cmp.Or(int64(p.CoreSize), s.CoreSize)
	s.Colocated = p.Colocated
	s.MaxHoldMs, s.GangWaitMs = cmp.Or(p.MaxHoldMs, s.MaxHoldMs), cmp.Or(p.GangWaitMs, s.GangWaitMs)
	s.SaveMs, s.RestoreMs = cmp.Or(p.CheckpointIntervalMs, s.SaveMs), cmp.Or(p.RestoreMs, s.RestoreMs)
	if p.SpreadFactor > 0 {
		s.SpreadFactor = p.SpreadFactor
	}
}

func orText(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

// check finds the first setting that is missing or out of its bounds; the error names its key.
func (s *settings) check() error {
	for _, part := range []func() error{s.checkNames, s.checkAddresses, s.checkNumbers, s.checkData} {
		if err := part(); err != nil {
			return err
		}
	}
	return nil
}

// badSetting says what is wrong with the setting of a key.
func badSetting(key, reason string) error { return errors.Wrapf(errSettings, "%s: %s", key, reason) }

func (s *settings) checkNames() error {
	const notAName = "must be a name of letters, digits, '-', '_', '.' or ':'"
	if !schema.ValidName(s.Name) {
		return badSetting("name", notAName)
	}
	if !schema.ValidName(s.Zone) {
		return badSetting("site", notAName)
	}
	return nil
}

func (s *settings) checkAddresses() error {
	for _, a := range []struct{ key, value string }{{"addr", s.Addr}, {"http", s.HTTP}} {
		if s.adapter != nil && a.key == "http" && a.value == "" { // the platform's addresses may be all there is
			continue
		}
		if reason := badAddr(a.value); reason != "" {
			return badSetting(a.key, reason)
		}
	}
	if s.Addr == s.HTTP {
		return badSetting("http", "is the same as addr")
	}
	if len(s.Seeds) == 0 && s.adapter == nil {
		return badSetting("seeds", "none is given; name three other daemons")
	}
	for _, a := range s.Seeds {
		if reason := badAddr(a); reason != "" {
			return badSetting("seeds", a+" "+reason)
		}
	}
	return nil
}

func (s *settings) checkNumbers() error {
	if s.LogLevel != "info" && s.LogLevel != "debug" {
		return badSetting("log_level", "must be info or debug")
	}
	if s.KeepHours < 1 || s.KLowest < 0 || s.TargetSigma < 0 || s.ThresholdMs < -1 {
		return badSetting("keep_hours, k_lowest, target_sigma, threshold_ms", "must be at least 1, 0, 0 and -1")
	}
	if s.CoreSize < 1 || s.MaxHoldMs < 1 || s.GangWaitMs < 1 || s.SaveMs < 1 || s.RestoreMs < 0 || s.SpreadFactor < 1 {
		return badSetting(
			"core_size, hold_most_ms, gang_wait_ms, save_ms, restore_ms, spread_factor",
			"must be at least 1, 1, 1, 1, 0 and 1",
		)
	}
	return nil
}

// checkData makes the data folder and tries to write there.
func (s *settings) checkData() error {
	if s.Data == "" {
		return nil
	}
	if err := os.MkdirAll(s.Data, 0o755); err != nil {
		return badSetting("data", err.Error())
	}
	probe := filepath.Join(s.Data, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o600); err != nil {
		return badSetting("data", "can't be written: "+err.Error())
	}
	_ = os.Remove(probe)
	return nil
}

func badAddr(a string) string {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		return "must be IP:port"
	}
	if net.ParseIP(host) == nil {
		return "must begin with an IP number"
	}
	if port == "" || port == "0" {
		return "must name a port"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 { // a look-up by name may wait for a resolver
		return "must name a port"
	}
	return ""
}
