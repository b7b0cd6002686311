// Package setting reads and validates the settings file of a VM, which is JSON with comments.
package setting

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config holds all settings of one VM. The sample file in conf describes each field.
type Config struct {
	VM       string   `json:"vm"`
	Zone     string   `json:"zone"`
	API      string   `json:"face" range:"openai|platform"`
	Listen   Listen   `json:"listen"`
	Peers    Peers    `json:"peers"`
	Data     Data     `json:"data"`
	Caller   Caller   `json:"caller"`
	Route    Route    `json:"route"`
	Limit    Limit    `json:"limit"`
	Lease    Lease    `json:"lease"`
	Shutdown Shutdown `json:"stop"`
	MemoryMB int      `json:"memory" range:"0..1048576"`

	Descriptors int `json:"descriptors" range:"0..1048576"`

	Billing Billing `json:"bill"`
	Log     Log     `json:"log"`
}

// Listen holds the addresses of the listeners, each as host:port.
type Listen struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Upstream string `json:"upstream"`
	Peer     string `json:"peer"`
	Metrics  string `json:"metrics"`
	Ready    string `json:"ready"`
}

// Peers configures how this VM finds the other VMs and authenticates to them.
type Peers struct {
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	Cert      string   `json:"cert"`
	Trust     string   `json:"trust" range:"fleet|network"`
	Port      int      `json:"port" range:"0..65535"`
}

// Data configures the replicated log and the folder in which a control VM stores it.
type Data struct {
	Folder          string `json:"folder"`
	Voters          int    `json:"voters" range:"1..9"`
	ToleratedLosses int    `json:"losses" range:"0..4"`
	FirstStart      bool   `json:"first"`

	ReplaceVoterAfter time.Duration `json:"spare" range:"1s..24h"`
}

// Caller limits the size of requests, in bytes, the time to receive them, and how long clients may keep a connection without progress.
type Caller struct {
	Body         int           `json:"body" range:"1024..1073741824"`
	MaxHeader    int           `json:"header" range:"1024..1048576"`
	ReadTimeout  time.Duration `json:"slow" range:"1s..5m"`
	StallTimeout time.Duration `json:"stall" range:"100ms..5m"`
	QuietTimeout time.Duration `json:"quiet" range:"10ms..5m"`
	WriteTimeout time.Duration `json:"unread" range:"1s..1h"`
	IdleTimeout  time.Duration `json:"idle" range:"0s..24h"`
}

// Route configures how upstreams are selected.
type Route struct {
	Policy string `json:"policy" range:"fair|naive"`
	Scope  string `json:"scope" range:"zone|fleet"`

	HeartbeatTimeout time.Duration `json:"silence" range:"500ms..1m"`
	Retries          Retries       `json:"retries"`
}

// Retries is the fleet-wide retry budget of each service: a fraction of its first attempts, and a burst in requests. Within any
// Window no more retries are sent.
type Retries struct {
	Ratio  float64       `json:"part" range:"0..1"`
	Burst  float64       `json:"burst" range:"0..100000"`
	Window time.Duration `json:"window" range:"1s..10m"`
}

// Limit is the tolerance above what rate and burst allow a customer within any Span: Over is a fraction of that amount, and
// Slack is in tokens.
type Limit struct {
	Over  float64       `json:"over" range:"0..1"`
	Slack float64       `json:"slack" range:"0..1000000000"`
	Span  time.Duration `json:"span" range:"0s..1h"`
}

// Lease holds the durations of leases, the election timeout, and the bounds within which changes take effect.
type Lease struct {
	VM              time.Duration `json:"vm" range:"500ms..10m"`
	RevokeBound     time.Duration `json:"revoke" range:"0s..10m"`
	ApplyBound      time.Duration `json:"apply" range:"0s..10m"`
	ExclusiveRole   time.Duration `json:"duty" range:"1s..10m"`
	ElectionTimeout time.Duration `json:"election" range:"100ms..1m"`
}

// Shutdown holds the durations of the steps of a graceful shutdown. Grace is the time from its start to the end of the process by force;
// zero if there is none.
type Shutdown struct {
	Grace        time.Duration `json:"grace" range:"0s..1h"`
	RefuseDelay  time.Duration `json:"lead" range:"0s..1m"`
	DrainTimeout time.Duration `json:"limit" range:"1s..1h"`
	Leave        time.Duration `json:"leave" range:"100ms..1m"`
}

// Billing configures usage reports to the platform.
type Billing struct {
	Platform  string        `json:"platform"`
	Window    time.Duration `json:"window" range:"1s..24h"`
	SealDelay time.Duration `json:"delay" range:"500ms..1h"`
}

// Log configures logging.
type Log struct {
	Verbosity int `json:"verbosity" range:"0..4"`
}

// Default returns the default settings, which apply to fields that a file leaves out.
func Default() Config {
	return Config{
		VM: "vm1", Zone: "local", API: "openai",
		Listen: Listen{
			Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Upstream: "127.0.0.1:8082",
			Peer: "127.0.0.1:8083", Metrics: "127.0.0.1:8084",
		},
		Peers:    Peers{Cert: "cert", Trust: "fleet"},
		Data:     Data{Voters: 3, ReplaceVoterAfter: time.Minute},
		Caller:   Caller{Body: 8 << 20, MaxHeader: 32 << 10, ReadTimeout: 10 * time.Second, StallTimeout: 3 * time.Second, QuietTimeout: 500 * time.Millisecond, WriteTimeout: 30 * time.Second, IdleTimeout: 2 * time.Minute},
		Route:    Route{Policy: "fair", Scope: "zone", HeartbeatTimeout: 2 * time.Second, Retries: Retries{Ratio: 0.1, Burst: 20, Window: 10 * time.Second}},
		Lease:    Lease{VM: 15 * time.Second, ExclusiveRole: 6 * time.Second, ElectionTimeout: time.Second},
		Shutdown: Shutdown{RefuseDelay: time.Second, DrainTimeout: 2 * time.Minute, Leave: 5 * time.Second},
		Billing:  Billing{Window: time.Minute, SealDelay: 3 * time.Second},
	}
}

// Load reads and validates a settings file.
func Load(file string) (Config, error) {
	cfg := Default()
	if err := loadFile(file, &cfg); err != nil {
		return cfg, err
	}
	return cfg, errors.Annotatef(cfg.Check(), "%s", file)
}

// Check returns an error for the first invalid setting.
func (c *Config) Check() error {
	if c.VM == "" || strings.ContainsAny(c.VM, "/ ") {
		return errors.NotValidf("vm %q (must be a name without spaces or slashes)", c.VM)
	}
	if c.Zone == "" || strings.ContainsAny(c.Zone, "/ ") {
		return errors.NotValidf("zone %q (must be a name without spaces or slashes)", c.Zone)
	}
	addresses := []struct{ field, value string }{
		{"listen.caller", c.Listen.Caller},
		{"listen.operator", c.Listen.Operator},
		{"listen.upstream", c.Listen.Upstream},
		{"listen.peer", c.Listen.Peer},
		{"listen.metrics", c.Listen.Metrics},
		{"listen.ready", c.Listen.Ready},
	}
	seen := map[string]string{}
	for _, a := range addresses {
		if a.value == "" && a.field != "listen.peer" {
			continue // this listener is disabled
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.NotValidf("%s %q (must be host:port)", a.field, a.value)
		}
		if other, ok := seen[a.value]; ok {
			return errors.NotValidf("%s equal to %s (%s)", a.field, other, a.value)
		}
		seen[a.value] = a.field
	}
	for _, s := range c.Peers.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return errors.NotValidf("peers.seeds entry %q (must be host:port)", s)
		}
	}
	if c.Lease.ExclusiveRole <= c.Lease.ElectionTimeout {
		return errors.NotValidf("lease.duty %s (must be longer than lease.election, %s)", c.Lease.ExclusiveRole, c.Lease.ElectionTimeout)
	}
	return nil
}

// SeedPeers returns the peer addresses of the seeds. If peers.port is set, it replaces the port of each seed.
func (c *Config) SeedPeers() []string {
	if c.Peers.Port == 0 {
		return c.Peers.Seeds
	}
	list := make([]string, 0, len(c.Peers.Seeds))
	for _, s := range c.Peers.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(c.Peers.Port)))
		}
	}
	return list
}

// Voters returns the intended number of voters of the replicated log: enough to tolerate data.losses if that is set, and
// data.voters otherwise.
func (c *Config) Voters() int {
	if c.Data.ToleratedLosses > 0 {
		return 2*c.Data.ToleratedLosses + 1
	}
	return c.Data.Voters
}

// vmLeaseRatio is the duration of the VM lease as a fraction of lease.revoke. The rest covers the time to send requests
// whose key was checked just before the lease ended, and clock drift.
const vmLeaseRatio = 0.6

// VMLease returns how long a VM may serve calls with API keys without renewing its lease: short enough to meet lease.revoke
// if that is set, and lease.vm otherwise.
func (c *Config) VMLease() time.Duration {
	if c.Lease.RevokeBound > 0 {
		return time.Duration(vmLeaseRatio * float64(c.Lease.RevokeBound))
	}
	return c.Lease.VM
}

// PeerAddress returns the address at which other VMs reach this VM.
func (c *Config) PeerAddress() string {
	if c.Peers.Advertise != "" {
		return c.Peers.Advertise
	}
	return c.Listen.Peer
}
