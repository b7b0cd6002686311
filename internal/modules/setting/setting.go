// Package setting reads and checks the settings file of a VM: JSON with comments.
package setting

import (
	"net"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Config is all settings of one VM.
type Config struct {
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Listen Listen `json:"listen"`
	Peers  Peers  `json:"peers"`
	Data   Data   `json:"data"`
	Caller Caller `json:"caller"`
	Route  Route  `json:"route"`
	Stop   Stop   `json:"stop"`
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
}

// Peers is how this VM finds and proves itself to the others.
type Peers struct {
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	Cert      string   `json:"cert"`
}

// Data is where a control VM keeps its state.
type Data struct {
	Folder string `json:"folder"`
	Voters int    `json:"voters" range:"1..9"`
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
}

// Stop is how this VM stops.
type Stop struct {
	Lead  time.Duration `json:"lead" range:"0s..1m"`
	Limit time.Duration `json:"limit" range:"1s..1h"`
}

// Bill is how usage is reported.
type Bill struct {
	Platform string        `json:"platform"`
	Window   time.Duration `json:"window" range:"1s..24h"`
}

// Log is what this VM logs.
type Log struct {
	Verbosity int `json:"verbosity" range:"0..4"`
}

// Default returns the settings of fields that a file leaves out.
func Default() Config {
	return Config{
		VM: "vm1", Zone: "local",
		Listen: Listen{
			Caller: "127.0.0.1:8080", Operator: "127.0.0.1:8081", Upstream: "127.0.0.1:8082",
			Peer: "127.0.0.1:8083", Metrics: "127.0.0.1:8084",
		},
		Peers:  Peers{Cert: "cert"},
		Data:   Data{Voters: 3},
		Caller: Caller{Body: 8 << 20, Header: 32 << 10, Slow: 10 * time.Second},
		Route:  Route{Policy: "fair"},
		Stop:   Stop{Lead: time.Second, Limit: 2 * time.Minute},
		Bill:   Bill{Window: time.Minute},
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
	}
	seen := map[string]string{}
	for _, a := range addresses {
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
	return nil
}

// PeerAddress returns the address that other VMs call.
func (c *Config) PeerAddress() string {
	if c.Peers.Advertise != "" {
		return c.Peers.Advertise
	}
	return c.Listen.Peer
}
