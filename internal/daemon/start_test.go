package daemon

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/fx"
)

// The daemon's modules are assembled without waiting for each other. The Prometheus counts
// once waited 4 s for a control thread that had not started.
func TestStartAtOnce(t *testing.T) {
	ports := freePorts(t, 2)
	s := defaultSettings()
	s.Name, s.Zone, s.Addr, s.HTTP, s.Seeds = "a", "z", ports[0], ports[1], []string{"127.0.0.1:1"}
	began := time.Now()
	app := fx.New(daemonModules(s))
	must.NoError(t, app.Err())
	must.Less(t, replyTimeoutMs/2*time.Millisecond, time.Since(began))
	must.NoError(t, app.Start(t.Context()))
	must.NoError(t, app.Stop(t.Context()))
}
