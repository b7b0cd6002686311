package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/document"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/route"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
)

const testService = "s"

func newDocument(v document.Version, change func(*document.Document)) *document.Document {
	d := &document.Document{
		Version:  v,
		Source:   []byte{byte(v)},
		Services: []service.Service{{ID: testService, Kind: service.Plain}},
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: route.Safe, Timeout: time.Second, WeightedServices: []route.WeightedService{{Service: testService, Weight: 1}},
		}},
		Customers: []document.Customer{{ID: "c", Hashes: []string{key.Hash("secret")}, Rate: 100, Burst: 200}},
	}
	if change != nil {
		change(d)
	}
	return d
}

// applyDocuments applies documents in order to a new machine.
func applyDocuments(t *testing.T, list ...*document.Document) *Machine {
	m := New()
	for i, d := range list {
		applyDocument(t, m, id.Index(i+1), d)
	}
	return m
}

func applyDocument(t *testing.T, m *Machine, i id.Index, d *document.Document) Result {
	t.Helper()
	data, err := Command{Change: &Change{AnyBase: true, Request: id.Request(d.Source), Replace: d}}.Encode()
	require.NoError(t, err)
	r := m.Apply(i, data)
	m.Publish()
	return r
}

func TestHighestDocumentVersionWins(t *testing.T) {
	m := applyDocuments(t, newDocument(7, nil), newDocument(3, nil))
	require.EqualValues(t, 7, m.Config().Version)
	require.Equal(t, []byte{7}, m.Config().Source)
	require.EqualValues(t, 1, m.Config().Revision, "a document with a lower version must not change the configuration")

	other := newDocument(7, func(d *document.Document) { d.Source = []byte("other"); d.Customers = nil })
	require.Equal(t, OK, applyDocument(t, m, 3, other).Code)
	require.Equal(t, []byte{7}, m.Config().Source, "other content with the version in force must not replace it")
	require.Len(t, m.Config().Customers, 1)
}

func TestDocumentReplacesCallerSettingsOnly(t *testing.T) {
	m := New()
	for i, ch := range []Change{
		{Customer: &customer.Customer{ID: "old"}},
		{Key: &key.Key{ID: "admin", Role: key.Admin, Hash: key.Hash("a")}},
		{Key: &key.Key{ID: "was", Role: key.Caller, Customer: "old", Hash: key.Hash("b")}},
		{Defaults: policy.Defaults{policy.MaxLateness: 3}},
		{Exception: &policy.Exception{ID: "kept", Customer: "old", Field: policy.MaxLateness, Value: 4, Reason: "agreed"}},
	} {
		ch.AnyBase, ch.Request = true, id.Request(rune('a'+i))
		data, err := Command{Change: &ch}.Encode()
		require.NoError(t, err)
		require.Equal(t, OK, m.Apply(id.Index(i+1), data).Code)
	}
	require.Equal(t, OK, applyDocument(t, m, 10, newDocument(1, nil)).Code)
	cfg := m.Config()
	require.NotContains(t, cfg.Customers, id.Customer("old"))
	require.Contains(t, cfg.Keys, id.Key("admin"))
	require.NotContains(t, cfg.Keys, id.Key("was"))
	require.Contains(t, cfg.Exceptions, "kept")
	require.EqualValues(t, 3, cfg.Resolve(policy.MaxLateness, "c", "").Value)
	rate := cfg.Resolve(policy.Rate, "c", "")
	require.EqualValues(t, 100, rate.Value)
	require.Equal(t, "document 1", rate.Reason)
	k, ok := cfg.KeyByHash(key.Hash("secret"))
	require.True(t, ok)
	require.EqualValues(t, "c", k.Customer)
	_, ok = cfg.KeyByHash(key.Hash("b"))
	require.False(t, ok)
}

func TestInvalidDocumentIsRejected(t *testing.T) {
	for name, change := range map[string]func(*document.Document){
		"unknown service":           func(d *document.Document) { d.Routes[0].WeightedServices[0].Service = "none" },
		"duplicate host and prefix": func(d *document.Document) { d.Routes = append(d.Routes, d.Routes[0]) },
		"no weight":                 func(d *document.Document) { d.Routes[0].WeightedServices[0].Weight = 0 },
		"no timeout":                func(d *document.Document) { d.Routes[0].Timeout = 0 },
		"key shared by two customers": func(d *document.Document) {
			d.Customers = append(d.Customers, document.Customer{ID: "e", Hashes: d.Customers[0].Hashes})
		},
		"duplicate customer": func(d *document.Document) { d.Customers = append(d.Customers, d.Customers[0]) },
		"duplicate service":  func(d *document.Document) { d.Services = append(d.Services, d.Services[0]) },
		"empty customer id":  func(d *document.Document) { d.Customers[0].ID = "" },
		"negative rate":      func(d *document.Document) { d.Customers[0].Rate = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			m := applyDocuments(t, newDocument(1, nil))
			r := applyDocument(t, m, 2, newDocument(2, change))
			require.NotEqual(t, OK, r.Code)
			require.EqualValues(t, 1, m.Config().Version)
			require.Len(t, m.Config().Routes, 1)
		})
	}
}

func TestDocumentInFollowerSnapshot(t *testing.T) {
	m := applyDocuments(t, newDocument(5, nil))
	_, data, err := m.FollowerSnapshot()
	require.NoError(t, err)
	n := New()
	require.NoError(t, n.Restore(data))
	n.Publish()
	require.EqualValues(t, 5, n.Config().Version)
	_, ok := n.Config().FindRoute("h", "/x")
	require.True(t, ok)
	_, ok = n.Config().KeyByHash(key.Hash("secret"))
	require.True(t, ok)
}
