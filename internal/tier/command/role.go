package command

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/metrics"
	"pulleygw.example/pulleygw/internal/tier/runtimelimits"
	"pulleygw.example/pulleygw/internal/tier/settings"
)

// Role is one kind of process of the tier. Run blocks until ctx is done and the role has shut down, or until an error.
type Role struct {
	Name string
	Help string
	Run  func(ctx context.Context, live *settings.Live, log hclog.Logger) error
}

// errRoleNotBuilt is returned for a role without a Run function.
var errRoleNotBuilt = eris.New("not part of this build")

// pollInterval is the interval at which the settings file is checked for changes.
const pollInterval = 2 * time.Second

// runRole is the command that runs a role; it has the name of the role.
type runRole struct {
	role     Role
	Metrics  string `help:"Where metrics are served, as PORT/PATH; if empty, as in the settings file." default:""`
	Settings string `help:"Settings file." env:"PULLEYGW_SETTINGS" default:"/etc/pulleygw/node.toml"`
}

// Run runs the role until SIGTERM or SIGINT.
func (r *runRole) Run(env *environment) error {
	log := env.logger(r.role.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // as early as possible: an unhandled SIGHUP ends the process
	defer signal.Ignore(syscall.SIGHUP)    // a SIGHUP during the shutdown must not change the exit code
	live, err := settings.NewLive(r.Settings)
	if err != nil {
		log.Error("settings are invalid", "file", r.Settings, "error", err)
		env.code = ExitBadSettings
		return nil
	}
	if r.role.Run == nil {
		return errRoleNotBuilt
	}
	runtimelimits.Apply(live.Current().Limits)
	invariant.SetLogger(log)
	r.serveMetrics(ctx, live.Current(), log)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	settingsReloader := &reloader{live: live, log: log}
	var running sync.WaitGroup
	running.Go(func() { settingsReloader.run(ctx, hangups, ticker.C) })
	defer running.Wait()
	defer stop()

	log.Info("started", "node", live.Current().NodeName, "ip", live.Current().IP, "zone", live.Current().Zone)
	if err := r.role.Run(ctx, live, log); err != nil {
		log.Error("role failed", "error", err)
		env.code = ExitRoleFailed
		return nil
	}
	log.Info("stopped")
	return nil
}

// serveMetrics serves metrics if the flag or the settings give an address. If it fails, it logs the reason, and the role
// runs without metrics.
func (r *runRole) serveMetrics(ctx context.Context, current *settings.Settings, log hclog.Logger) {
	address := cmp.Or(r.Metrics, current.Metrics)
	if address == "" {
		return
	}
	endpoint, err := metrics.ParseEndpoint(address)
	switch {
	case err != nil:
	case current.UsesPort(endpoint.Port): // reserved for a listener of a role
		err = eris.Errorf("port %d is reserved for the listeners of this machine", endpoint.Port)
	default:
		err = metrics.Serve(ctx, current.IP, endpoint)
	}
	if err != nil {
		log.Warn("metrics are not served", "error", err)
	}
}

// reloader reloads the settings file while the role runs.
type reloader struct {
	live      *settings.Live
	log       hclog.Logger
	lastError string // last logged error, so that a file that stays invalid is logged once only
	lastTick  time.Time
}

// run reloads the file at each SIGHUP and each tick until ctx is done.
func (r *reloader) run(ctx context.Context, hangups <-chan os.Signal, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.log.Info("SIGHUP received, reloading settings")
			r.lastError = ""
			r.reload()
		case <-ticks:
			r.checkTickGap(time.Now())
			r.reload()
		}
	}
}

// maxTickGap is the longest time between two ticks that does not count as a suspension of the process.
const maxTickGap = pollInterval + time.Second

// checkTickGap logs that the process was suspended if the last tick is too long ago. Requests that arrived meanwhile were
// answered late or not at all.
func (r *reloader) checkTickGap(now time.Time) {
	if gap := now.Sub(r.lastTick); !r.lastTick.IsZero() && gap > maxTickGap {
		r.log.Warn("process was suspended", "seconds", (gap - pollInterval).Seconds())
	}
	r.lastTick = now
}

func (r *reloader) reload() {
	changed, err := r.live.Reload()
	switch {
	case err != nil && err.Error() != r.lastError:
		r.lastError = err.Error()
		r.log.Error("reloaded settings are invalid, keeping the earlier ones", "error", err)
	case err != nil:
	case changed:
		r.lastError = ""
		runtimelimits.Apply(r.live.Current().Limits)
		r.log.Info("settings reloaded")
	}
}
