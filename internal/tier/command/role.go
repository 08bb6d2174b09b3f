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

// Role is one of the programs that the tier consists of. Run returns after ctx has ended and everything is shut down.
type Role struct {
	Name string
	Help string
	Run  func(ctx context.Context, live *settings.Live, log hclog.Logger) error
}

// errNotBuilt reports a role that this build does not have.
var errNotBuilt = eris.New("not part of this build")

// pollInterval is how often the settings file is checked for changes without a signal.
const pollInterval = 2 * time.Second

// runRole is the command that runs a role.
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
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: unhandled, the signal ends the process
	defer signal.Ignore(syscall.SIGHUP)    // nor may it change the exit code at the end
	live, err := settings.NewLive(r.Settings)
	if err != nil {
		log.Error("settings are invalid", "file", r.Settings, "error", err)
		env.code = ExitBadSettings
		return nil
	}
	if r.role.Run == nil {
		return errNotBuilt
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

// serveMetrics serves metrics if the flag or the settings ask for it. A process that cannot serve them still runs its
// role.
func (r *runRole) serveMetrics(ctx context.Context, current *settings.Settings, log hclog.Logger) {
	address := cmp.Or(r.Metrics, current.Metrics)
	if address == "" {
		return
	}
	endpoint, err := metrics.ParseEndpoint(address)
	switch {
	case err != nil:
	case current.UsesPort(endpoint.Port): // the port is needed for a role
		err = eris.Errorf("port %d is one of this machine's own", endpoint.Port)
	default:
		err = metrics.Serve(ctx, current.IP, endpoint)
	}
	if err != nil {
		log.Warn("metrics are not served", "error", err)
	}
}

// reloader applies changes of the settings file while the role runs.
type reloader struct {
	live      *settings.Live
	log       hclog.Logger
	lastError string // the last error logged, so that a file that stays invalid is logged once
	lastTick  time.Time
}

// run reads the file again at each SIGHUP and each tick until ctx ends.
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

// maxTickGap is the longest expected time between two ticks of a process that runs without interruption.
const maxTickGap = pollInterval + time.Second

// checkTickGap logs that the process was suspended for a while: requests of that time were answered late or not at
// all.
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
