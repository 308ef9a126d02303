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
	defaultKeepHours            = 24     // callers check the state of a finished job within a day
	defaultMaxHoldMs            = 10_000 // this and the next three: see docs/settings.md; a platform may set them
	defaultGangWaitMs           = 3000
	defaultCheckpointIntervalMs = 1000
	defaultRestoreMs            = 250
)

// settings are a daemon's addresses, location and tuning, from the platform's configuration or
// a JSON file, and from flags. A flag overrides the other sources.
type settings struct {
	Name        string
	Addr        string // IP:port for other daemons
	HTTP        string // IP:port for callers, workers and operators
	Zone        string
	Seeds       []string // addresses of other daemons to join the cluster by
	Data        string   // folder for the replicated state; empty on machines that store none
	KeepHours   int64
	ThresholdMs int64   // learned run times below it are queueable
	KLowest     int64   // number of lowest-ranked workers to choose among for a queueable task; 0 for a share of all
	TargetSigma float64 // standard deviations above the mean rank in the delay target
	LogLevel    string

	CoreSize             int64 // number of disks that store the replicated state
	FirstStart           bool  // empty disks may form a core
	Colocated            bool  // this daemon runs beside a worker and takes no role
	MaxHoldMs            int64 // the longest time a worker holds its runs after a heartbeat reply
	GangWaitMs           int64
	CheckpointIntervalMs int64   // work between two checkpoints of a run
	RestoreMs            int64   // extra time that a start from a checkpoint takes
	SpreadFactor         float64 // by which work takes longer outside its rack

	// Set by the platform alone; 0 if it gives no value.
	MemoryMb    int64
	Descriptors int
	MilliCores  int64
	LinkMbps    int64

	Policies scheduler.Set     // the policies that are switched off
	adapter  *platform.Adapter // nil without a platform
}

// settingsSchema is the schema of the settings file.
var settingsSchema = schema.Field{Kind: schema.Object, Fields: map[string]schema.Field{
	"name":          {Kind: schema.Name},
	"addr":          {Kind: schema.String, Min: 1, Max: 100},
	"http":          {Kind: schema.String, Min: 1, Max: 100},
	"site":          {Kind: schema.Name},
	"seeds":         {Kind: schema.List, Min: 1, Max: 16, Elem: &schema.Field{Kind: schema.String, Min: 1, Max: 100}},
	"data":          {Kind: schema.String, Max: 4096},
	"keep_hours":    {Kind: schema.Integer, Min: 1, Max: 24 * 366},
	"threshold_ms":  {Kind: schema.Integer, Min: -1, Max: msPerHour},
	"k_lowest":      {Kind: schema.Integer, Min: 0, Max: 10_000},
	"target_sigma":  {Kind: schema.Number},
	"log_level":     {Kind: schema.Name},
	"beside":        {Kind: schema.Bool},
	"core_size":     {Kind: schema.Integer, Min: 1, Max: 99},
	"first_start":   {Kind: schema.Bool},
	"hold_most_ms":  {Kind: schema.Integer, Min: 1, Max: msPerHour},
	"gang_wait_ms":  {Kind: schema.Integer, Min: 1, Max: msPerHour},
	"save_ms":       {Kind: schema.Integer, Min: 1, Max: msPerHour},
	"restore_ms":    {Kind: schema.Integer, Min: 0, Max: msPerHour},
	"spread_factor": {Kind: schema.Number},
}}

func defaultSettings() settings {
	return settings{
		KeepHours:            defaultKeepHours,
		ThresholdMs:          thresholdMs,
		TargetSigma:          2,
		LogLevel:             "info",
		CoreSize:             membership.DefaultSize,
		FirstStart:           true,
		MaxHoldMs:            defaultMaxHoldMs,
		GangWaitMs:           defaultGangWaitMs,
		CheckpointIntervalMs: defaultCheckpointIntervalMs,
		RestoreMs:            defaultRestoreMs,
		SpreadFactor:         1.5,
	}
}

// settingSetters holds, by key of the settings file, how its value is stored.
var settingSetters = map[string]func(*settings, gjson.Result){
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
	"save_ms":       func(s *settings, v gjson.Result) { s.CheckpointIntervalMs = v.Int() },
	"restore_ms":    func(s *settings, v gjson.Result) { s.RestoreMs = v.Int() },
	"spread_factor": func(s *settings, v gjson.Result) { s.SpreadFactor = v.Num },
}

// settingsFlags holds the values of the flags of `otterchute run`.
type settingsFlags struct {
	disabledPolicies                                                 string
	file, name, addr, http, zone, seeds, data, logLevel              string
	keepHours, thresholdMs, kLowest                                  int64
	targetSigma                                                      float64
	colocated                                                        bool
	coreSize, maxHoldMs, gangWaitMs, checkpointIntervalMs, restoreMs int64
	firstStart                                                       bool
	spreadFactor                                                     float64
}

// bindFlags defines the flags.
func (f *settingsFlags) bindFlags(fs *flag.FlagSet) {
	defaults := defaultSettings()
	fs.StringVar(&f.file, "settings", "", "JSON settings file; flags override it")
	fs.StringVar(&f.name, "name", "", "this daemon's name, unique in the cluster")
	fs.StringVar(&f.addr, "addr", "", "IP:port for other daemons")
	fs.StringVar(&f.http, "http", "", "IP:port for callers, workers and operators")
	fs.StringVar(&f.zone, "site", "", "site (zone) this daemon runs in")
	fs.StringVar(&f.seeds, "seeds", "", "addresses of three other daemons, separated by commas")
	fs.StringVar(&f.data, "data", "", "data folder; only for machines that store the state")
	fs.StringVar(&f.logLevel, "log-level", defaults.LogLevel, "info or debug")
	fs.Int64Var(&f.keepHours, "keep-hours", defaults.KeepHours, "hours a finished job is kept")
	fs.Int64Var(&f.thresholdMs, "threshold-ms", defaults.ThresholdMs,
		"learned run times below this are queueable; 0 makes all guaranteed, -1 all queueable")
	fs.Int64Var(&f.kLowest, "k-lowest", defaults.KLowest,
		"number of lowest-ranked workers for a queueable task; 0 for a quarter of those allowed, at least 3, at most 50")
	fs.Float64Var(&f.targetSigma, "target-sigma", defaults.TargetSigma,
		"the delay target is the mean rank plus this many standard deviations")
	fs.Int64Var(&f.coreSize, "core-size", defaults.CoreSize,
		"disks that store the state; an even number counts as the next lower odd one")
	fs.BoolVar(&f.firstStart, "first-start", defaults.FirstStart,
		"the whole cluster starts for the first time: empty disks may form a core")
	fs.BoolVar(&f.colocated, "beside", false,
		"this daemon runs beside a worker: it takes no role in the cluster")
	fs.Int64Var(&f.maxHoldMs, "hold-most-ms", defaults.MaxHoldMs,
		"the longest time a worker holds its runs after one heartbeat reply")
	fs.Int64Var(&f.gangWaitMs, "gang-wait-ms", defaults.GangWaitMs,
		"how long a gang member waits for the others")
	fs.Int64Var(&f.checkpointIntervalMs, "save-ms", defaults.CheckpointIntervalMs,
		"work between two checkpoints of a run that makes them")
	fs.Int64Var(&f.restoreMs, "restore-ms", defaults.RestoreMs,
		"extra time that a start from a checkpoint takes")
	fs.Float64Var(&f.spreadFactor, "spread-factor", defaults.SpreadFactor,
		"factor by which work takes longer outside its rack")
	fs.StringVar(&f.disabledPolicies, "disable-policy", "",
		"for experiments: scheduling policies to switch off, separated by commas")
}

// load returns the settings of the platform or of the file, overridden by the given flags and
// validated.
func (f *settingsFlags) load(fs *flag.FlagSet) (settings, error) {
	s := defaultSettings()
	switch detected, err := loadPlatform(f.file); {
	case err != nil:
		return s, errors.Wrapf(errSettings, "platform: %v", err)
	case detected != nil:
		s.adapter = detected
		s.applyPlatform(detected.DaemonSettings())
	}
	if f.file != "" {
		doc, err := os.ReadFile(f.file)
		if err != nil {
			return s, errors.Wrapf(errSettings, "settings: %v", err)
		}
		if faults := schema.Check(doc, settingsSchema); len(faults) > 0 {
			return s, errors.Wrapf(errSettings, "%s: %s", firstNonEmpty(faults[0].Path, f.file), faults[0].Reason)
		}
		gjson.ParseBytes(doc).ForEach(func(k, v gjson.Result) bool {
			settingSetters[k.Str](&s, v)
			return true
		})
	}
	setters := map[string]func(){
		"name":          func() { s.Name = f.name },
		"addr":          func() { s.Addr = f.addr },
		"http":          func() { s.HTTP = f.http },
		"site":          func() { s.Zone = f.zone },
		"seeds":         func() { s.Seeds = strings.Split(f.seeds, ",") },
		"data":          func() { s.Data = f.data },
		"log-level":     func() { s.LogLevel = f.logLevel },
		"keep-hours":    func() { s.KeepHours = f.keepHours },
		"threshold-ms":  func() { s.ThresholdMs = f.thresholdMs },
		"k-lowest":      func() { s.KLowest = f.kLowest },
		"target-sigma":  func() { s.TargetSigma = f.targetSigma },
		"core-size":     func() { s.CoreSize = f.coreSize },
		"first-start":   func() { s.FirstStart = f.firstStart },
		"beside":        func() { s.Colocated = f.colocated },
		"hold-most-ms":  func() { s.MaxHoldMs = f.maxHoldMs },
		"gang-wait-ms":  func() { s.GangWaitMs = f.gangWaitMs },
		"save-ms":       func() { s.CheckpointIntervalMs = f.checkpointIntervalMs },
		"restore-ms":    func() { s.RestoreMs = f.restoreMs },
		"spread-factor": func() { s.SpreadFactor = f.spreadFactor },
	}
	fs.Visit(func(fl *flag.Flag) {
		if set, ok := setters[fl.Name]; ok {
			set()
		}
	})
	var err error
	if s.Policies, err = scheduler.ParseSet(f.disabledPolicies); err != nil {
		return s, invalidSetting("disable-policy", err.Error())
	}
	return s, s.check()
}

// loadPlatform returns the adapter of the platform that this process runs on, or nil without
// one. A settings file takes the platform's place.
func loadPlatform(file string) (*platform.Adapter, error) {
	if file != "" {
		return nil, nil
	}
	return platform.Load()
}

// applyPlatform takes over the platform's settings for this process. Tuning that the platform
// leaves at zero keeps its default.
func (s *settings) applyPlatform(p platform.DaemonSettings) {
	s.Name, s.Addr, s.HTTP, s.Zone, s.Data, s.Seeds = p.Name, p.Addr, p.HTTP, p.Zone, p.DataDirectory, p.Seeds
	s.FirstStart, s.MemoryMb, s.Descriptors = p.FirstStart, p.MemoryMb, p.Descriptors
	s.MilliCores, s.LinkMbps = p.MilliCores, p.LinkMbps
	s.CoreSize = cmp.Or(int64(p.CoreSize), s.CoreSize)
	s.Colocated = p.Colocated
	s.MaxHoldMs, s.GangWaitMs = cmp.Or(p.MaxHoldMs, s.MaxHoldMs), cmp.Or(p.GangWaitMs, s.GangWaitMs)
	s.CheckpointIntervalMs, s.RestoreMs =
		cmp.Or(p.CheckpointIntervalMs, s.CheckpointIntervalMs), cmp.Or(p.RestoreMs, s.RestoreMs)
	if p.SpreadFactor > 0 {
		s.SpreadFactor = p.SpreadFactor
	}
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

// check returns an error for the first setting that is missing or out of bounds; it names the key.
func (s *settings) check() error {
	for _, checkPart := range []func() error{s.checkNames, s.checkAddresses, s.checkNumbers, s.checkData} {
		if err := checkPart(); err != nil {
			return err
		}
	}
	return nil
}

// invalidSetting returns the error for an invalid value of a key.
func invalidSetting(key, reason string) error {
	return errors.Wrapf(errSettings, "%s: %s", key, reason)
}

func (s *settings) checkNames() error {
	const notAName = "must be a name of letters, digits, '-', '_', '.' or ':'"
	if !schema.ValidName(s.Name) {
		return invalidSetting("name", notAName)
	}
	if !schema.ValidName(s.Zone) {
		return invalidSetting("site", notAName)
	}
	return nil
}

func (s *settings) checkAddresses() error {
	for _, address := range []struct{ key, value string }{{"addr", s.Addr}, {"http", s.HTTP}} {
		if s.adapter != nil && address.key == "http" && address.value == "" { // the platform may supply the addresses
			continue
		}
		if reason := addressFault(address.value); reason != "" {
			return invalidSetting(address.key, reason)
		}
	}
	if s.Addr == s.HTTP {
		return invalidSetting("http", "is the same as addr")
	}
	if len(s.Seeds) == 0 && s.adapter == nil {
		return invalidSetting("seeds", "none is given; list three other daemons")
	}
	for _, address := range s.Seeds {
		if reason := addressFault(address); reason != "" {
			return invalidSetting("seeds", address+" "+reason)
		}
	}
	return nil
}

func (s *settings) checkNumbers() error {
	if s.LogLevel != "info" && s.LogLevel != "debug" {
		return invalidSetting("log_level", "must be info or debug")
	}
	if s.KeepHours < 1 || s.KLowest < 0 || s.TargetSigma < 0 || s.ThresholdMs < -1 {
		return invalidSetting("keep_hours, k_lowest, target_sigma, threshold_ms", "must be at least 1, 0, 0 and -1")
	}
	if s.CoreSize < 1 || s.MaxHoldMs < 1 || s.GangWaitMs < 1 || s.CheckpointIntervalMs < 1 || s.RestoreMs < 0 ||
		s.SpreadFactor < 1 {
		return invalidSetting(
			"core_size, hold_most_ms, gang_wait_ms, save_ms, restore_ms, spread_factor",
			"must be at least 1, 1, 1, 1, 0 and 1",
		)
	}
	return nil
}

// checkData creates the data folder and checks that it is writable.
func (s *settings) checkData() error {
	if s.Data == "" {
		return nil
	}
	if err := os.MkdirAll(s.Data, 0o755); err != nil {
		return invalidSetting("data", err.Error())
	}
	probe := filepath.Join(s.Data, ".writable")
	if err := os.WriteFile(probe, []byte("x"), 0o600); err != nil {
		return invalidSetting("data", "is not writable: "+err.Error())
	}
	_ = os.Remove(probe)
	return nil
}

// addressFault returns why an address is not IP:port, or "" if it is.
func addressFault(address string) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "must be IP:port"
	}
	if net.ParseIP(host) == nil {
		return "must start with an IP address"
	}
	if port == "" || port == "0" {
		return "must include a port"
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 { // net.LookupPort could block on a resolver
		return "must include a port"
	}
	return ""
}
