// Package setting reads and checks the settings file of a VM: JSON with comments.
package setting

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config is all settings of one VM.
type Config struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Face   string `json:"face" range:"openai|platform"`
	Listen Listen `json:"listen"`
	Peers  Peers  `json:"peers"`
	Data   Data   `json:"data"`
	Caller Caller `json:"caller"`
	Route  Route  `json:"route"`
	Limit  Limit  `json:"limit"`
	Lease  Lease  `json:"lease"`
	Stop   Stop   `json:"stop"`
	Memory int    `json:"memory" range:"0..1048576"`
	Bill   Bill   `json:"bill"`
	Log    Log    `json:"log"`
}

// Listen is the addresses of the listeners, each host:port.
type Listen struct {
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Upstream string `json:"upstream"`
	Peer     string `json:"peer"`
	Metrics  string `json:"metrics"`
	Ready    string `json:"ready"`
}

// Peers is how this VM finds and proves itself to the others.
type Peers struct {
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	Cert      string   `json:"cert"`
	Trust     string   `json:"trust" range:"fleet|network"`
	Port      int      `json:"port" range:"0..65535"`
}

// Data is where a control VM keeps its state.
type Data struct {
	Folder string `json:"folder"`
	Voters int    `json:"voters" range:"1..9"`
	Losses int    `json:"losses" range:"0..4"`
	First  bool   `json:"first"`

	Spare time.Duration `json:"spare" range:"1s..24h"`
}

// Caller bounds what a caller may send.
type Caller struct {
	Body   int           `json:"body" range:"1024..1073741824"`
	Header int           `json:"header" range:"1024..1048576"`
	Slow   time.Duration `json:"slow" range:"1s..5m"`
}

// Route is how upstreams are chosen.
type Route struct {
	Policy string `json:"policy" range:"fair|naive"`
	Scope  string `json:"scope" range:"zone|fleet"`

	Silence time.Duration `json:"silence" range:"500ms..1m"`
	Retries Retries       `json:"retries"`
}

// Retries is the fleet-wide budget of each service for sending a request to a second upstream.
type Retries struct {
	Part  float64 `json:"part" range:"0..1"`
	Burst float64 `json:"burst" range:"0..100000"`
}

// Limit is how far customers may get beyond their rate and burst in any span.
type Limit struct {
	Over  float64       `json:"over" range:"0..1"`
	Slack float64       `json:"slack" range:"0..1000000000"`
	Span  time.Duration `json:"span" range:"0s..1h"`
}

// Lease is how long authority lasts without being renewed.
type Lease struct {
	VM       time.Duration `json:"vm" range:"500ms..10m"`
	Revoke   time.Duration `json:"revoke" range:"0s..10m"`
	Apply    time.Duration `json:"apply" range:"0s..10m"`
	Duty     time.Duration `json:"duty" range:"1s..10m"`
	Election time.Duration `json:"election" range:"100ms..1m"`
}

// Stop is how this VM stops.
type Stop struct {
	Lead  time.Duration `json:"lead" range:"0s..1m"`
	Limit time.Duration `json:"limit" range:"1s..1h"`
	Leave time.Duration `json:"leave" range:"100ms..1m"`
}

// Bill is how usage is reported.
type Bill struct {
	Platform string        `json:"platform"`
	Window   time.Duration `json:"window" range:"1s..24h"`
	Delay    time.Duration `json:"delay" range:"500ms..1h"`
}

// Log is what this VM logs.
type Log struct {
	Verbosity int `json:"verbosity" range:"0..4"`
}

// Default returns the settings of fields that a file leaves out.
func Default() Config {
	return Config{
		VM: "vm1", Zone: "local", Face: "openai",
		Listen: Listen{
			Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Upstream: "127.0.0.1:8082",
			Peer: "127.0.0.1:8083", Metrics: "127.0.0.1:8084",
		},
		Peers:  Peers{Cert: "cert", Trust: "fleet"},
		Data:   Data{Voters: 3, Spare: time.Minute},
		Caller: Caller{Body: 8 << 20, Header: 32 << 10, Slow: 10 * time.Second},
		Route:  Route{Policy: "fair", Scope: "zone", Silence: 2 * time.Second, Retries: Retries{Part: 0.1, Burst: 20}},
		Lease:  Lease{VM: 15 * time.Second, Duty: 6 * time.Second, Election: time.Second},
		Stop:   Stop{Lead: time.Second, Limit: 2 * time.Minute, Leave: 5 * time.Second},
		Bill:   Bill{Window: time.Minute, Delay: 3 * time.Second},
	}
}

// Load reads and checks the file name.
func Load(name string) (Config, error) {
	cfg := Default()
	if err := load(name, &cfg); err != nil {
		return cfg, err
	}
	return cfg, errors.Annotatef(cfg.Check(), "%s", name)
}

// Check reports the first setting that cannot work.
func (c *Config) Check() error {
	if c.VM == "" || strings.ContainsAny(c.VM, "/ ") {
		return errors.NotValidf("vm %q (a name without spaces and slashes)", c.VM)
	}
	if c.Zone == "" || strings.ContainsAny(c.Zone, "/ ") {
		return errors.NotValidf("zone %q (a name without spaces and slashes)", c.Zone)
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
			continue // not served on this VM
		}
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return errors.NotValidf("%s %q (host:port)", a.field, a.value)
		}
		if other, ok := seen[a.value]; ok {
			return errors.NotValidf("%s equal to %s (%s)", a.field, other, a.value)
		}
		seen[a.value] = a.field
	}
	for _, s := range c.Peers.Seeds {
		if _, _, err := net.SplitHostPort(s); err != nil {
			return errors.NotValidf("peers.seeds entry %q (host:port)", s)
		}
	}
	if c.Lease.Duty <= c.Lease.Election {
		return errors.NotValidf("lease.duty %s (longer than lease.election, %s)", c.Lease.Duty, c.Lease.Election)
	}
	return nil
}

// SeedPeers returns the peer addresses of the seeds: as they are given, or at peers.port where that is set.
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

// Voters returns how many voters the log is to have: what data.losses needs, else data.voters.
func (c *Config) Voters() int {
	if c.Data.Losses > 0 {
		return 2*c.Data.Losses + 1
	}
	return c.Data.Voters
}

// revokePart is the part of lease.revoke that the VM lease lasts; the rest covers the sending of requests that were
// checked in its last moment, and the drift of clocks.
const revokePart = 0.6

// VMLease returns how long a VM may serve keyed calls without being heard: short enough for lease.revoke, where that is
// set, else lease.vm.
func (c *Config) VMLease() time.Duration {
	if c.Lease.Revoke > 0 {
		return time.Duration(revokePart * float64(c.Lease.Revoke))
	}
	return c.Lease.VM
}

// PeerAddress returns the address that other VMs call.
func (c *Config) PeerAddress() string {
	if c.Peers.Advertise != "" {
		return c.Peers.Advertise
	}
	return c.Listen.Peer
}
