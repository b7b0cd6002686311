package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"wagtaillift/internal/models/customer"
	"wagtaillift/internal/models/key"
	"wagtaillift/internal/models/policy"
	"wagtaillift/internal/models/service"
	"wagtaillift/internal/modules/id"
	"wagtaillift/internal/routers/operator"
)

const (
	adminTimeout  = 15 * time.Second
	adminAttempts = 3
)

type adminArgs struct {
	Server  []string `arg:"--server,separate,env:WAGTAILLIFT_SERVER" help:"administration address, http://host:port; may be given more than once"`
	Key     string   `arg:"--key,env:WAGTAILLIFT_KEY" help:"operator's key"`
	Base    string   `arg:"--base" help:"revision that the change is based on; defaults to the current one"`
	Request string   `arg:"--request" help:"request id; use the same one to resend a change"`
	Stale   bool     `arg:"--stale" help:"read the VM's local state without contacting a quorum"`

	State     *adminGet       `arg:"subcommand:state" help:"show the VM, the members and the leases"`
	Config    *adminGet       `arg:"subcommand:config" help:"show the configuration"`
	History   *adminGet       `arg:"subcommand:history" help:"show the accepted changes"`
	Force     *adminGet       `arg:"subcommand:force" help:"show which VM has applied which revision"`
	Upstreams *adminGet       `arg:"subcommand:upstreams" help:"show the upstreams of the VM's data centre"`
	Orders    *adminGet       `arg:"subcommand:orders" help:"show the latest order of each upstream"`
	Usage     *adminGet       `arg:"subcommand:usage" help:"show the sealed usage windows"`
	Effective *adminEffective `arg:"subcommand:effective" help:"show the effective settings of a customer or service, and why they apply"`
	Explain   *adminExplain   `arg:"subcommand:explain" help:"show the decisions made for a request"`
	Customer  *adminCustomer  `arg:"subcommand:customer" help:"create or change a customer"`
	Service   *adminService   `arg:"subcommand:service" help:"create or change a service"`
	Retire    *adminName      `arg:"subcommand:retire" help:"remove a service"`
	Create    *adminKey       `arg:"subcommand:key" help:"create a key and show its secret once"`
	Withdraw  *adminName      `arg:"subcommand:withdraw" help:"withdraw a key"`
	Default   *adminDefault   `arg:"subcommand:default" help:"set defaults, FIELD=VALUE"`
	Exception *adminException `arg:"subcommand:exception" help:"set an exception"`
	Drop      *adminName      `arg:"subcommand:drop" help:"remove an exception"`
}

type adminGet struct{}

type adminEffective struct {
	Customer string `arg:"--customer"`
	Service  string `arg:"--service"`
}

type adminExplain struct {
	ID string `arg:"positional,required" help:"the Wagtaillift-Request header of an answer; ask the VM that sent the answer"`
}

type adminName struct {
	ID string `arg:"positional,required"`
}

type adminCustomer struct {
	ID     string `arg:"positional,required"`
	Title  string `arg:"--title"`
	Frozen bool   `arg:"--frozen" help:"refuse all calls of the customer"`
}

type adminService struct {
	ID             string   `arg:"positional,required"`
	Kind           string   `arg:"--kind" default:"model" help:"model or plain"`
	Model          string   `arg:"--model" help:"weights of a model service; defaults to its id"`
	AllowAnonymous bool     `arg:"--open" help:"serve requests without a key"`
	Repeatable     bool     `arg:"--repeatable" help:"all methods of a plain service are idempotent"`
	Customers      []string `arg:"--customer,separate" help:"limit to these customers"`
}

type adminKey struct {
	ID       string        `arg:"positional,required"`
	Role     string        `arg:"--role" default:"caller" help:"caller, viewer, editor, admin or upstream"`
	Customer string        `arg:"--customer" help:"customer that a caller's key belongs to"`
	Validity time.Duration `arg:"--life" help:"validity; by default the key does not expire"`
}

type adminDefault struct {
	Set    []string `arg:"positional,required" help:"FIELD=VALUE"`
	Reason string   `arg:"--reason"`
}

type adminException struct {
	ID       string  `arg:"positional,required"`
	Field    string  `arg:"--field,required"`
	Value    float64 `arg:"--value,required"`
	Reason   string  `arg:"--reason,required"`
	Customer string  `arg:"--customer"`
	Service  string  `arg:"--service"`
}

func (a *adminArgs) run(ctx context.Context, out io.Writer) error {
	if len(a.Server) == 0 || a.Key == "" {
		return exitErrorf(ExitUsage, "admin needs --server and --key, or WAGTAILLIFT_SERVER and WAGTAILLIFT_KEY")
	}
	c := &adminClient{servers: a.Server, key: a.Key, stale: a.Stale, out: out, http: &http.Client{Timeout: adminTimeout}}
	if path, ok := a.readPath(); ok {
		return c.get(ctx, path)
	}
	method, path, body, secret, err := a.changeRequest()
	if err != nil {
		return err
	}
	if method == "" {
		return exitErrorf(ExitUsage, "admin needs a subcommand; see wagtaillift admin --help")
	}
	return c.change(ctx, method, path, body, a.Base, a.Request, secret)
}

// readPath returns the API path of a read-only subcommand.
func (a *adminArgs) readPath() (string, bool) {
	switch {
	case a.State != nil:
		return "state", true
	case a.Config != nil:
		return "config", true
	case a.History != nil:
		return "history", true
	case a.Force != nil:
		return "force", true
	case a.Upstreams != nil:
		return "upstreams", true
	case a.Orders != nil:
		return "orders", true
	case a.Usage != nil:
		return "usage", true
	case a.Effective != nil:
		q := url.Values{"customer": {a.Effective.Customer}, "service": {a.Effective.Service}}
		return "effective?" + q.Encode(), true
	case a.Explain != nil:
		return "explain/" + url.PathEscape(a.Explain.ID), true
	}
	return "", false
}

// changeRequest returns the request of a subcommand that makes a change, and the secret of a new key.
func (a *adminArgs) changeRequest() (method, path string, body any, secret string, err error) {
	switch {
	case a.Customer != nil:
		n := a.Customer
		return "PUT", "customers/" + n.ID, customer.Customer{ID: id.Customer(n.ID), Title: n.Title, Frozen: n.Frozen}, "", nil
	case a.Service != nil:
		return "PUT", "services/" + a.Service.ID, a.Service.body(), "", nil
	case a.Retire != nil:
		return "DELETE", "services/" + a.Retire.ID, nil, "", nil
	case a.Create != nil:
		k := key.Key{ID: id.Key(a.Create.ID), Role: key.Role(a.Create.Role), Customer: id.Customer(a.Create.Customer)}
		if a.Create.Validity > 0 {
			k.Expires = time.Now().Add(a.Create.Validity).UTC()
		}
		secret, k.Hash, err = key.Generate(k.ID)
		return "PUT", "keys/" + a.Create.ID, k, secret, err
	case a.Withdraw != nil:
		return "DELETE", "keys/" + a.Withdraw.ID, nil, "", nil
	case a.Default != nil:
		set, err := parseDefaults(a.Default.Set)
		return "PATCH", "defaults?" + url.Values{"reason": {a.Default.Reason}}.Encode(), set, "", err
	case a.Exception != nil:
		n := a.Exception
		return "PUT", "exceptions/" + n.ID, policy.Exception{
			ID: n.ID, Customer: id.Customer(n.Customer), Service: id.Service(n.Service),
			Field: policy.Field(n.Field), Value: n.Value, Reason: n.Reason,
		}, "", nil
	case a.Drop != nil:
		return "DELETE", "exceptions/" + a.Drop.ID, nil, "", nil
	}
	return "", "", nil, "", nil
}

func (a *adminService) body() service.Service {
	s := service.Service{
		ID: id.Service(a.ID), Kind: service.Kind(a.Kind), Model: id.Model(a.Model), AllowAnonymous: a.AllowAnonymous, Repeatable: a.Repeatable,
	}
	if s.Kind == service.Model && s.Model == "" {
		s.Model = id.Model(a.ID)
	}
	for _, c := range a.Customers {
		s.Customers = append(s.Customers, id.Customer(c))
	}
	return s
}

func parseDefaults(list []string) (policy.Defaults, error) {
	set := policy.Defaults{}
	for _, s := range list {
		f, v, ok := strings.Cut(s, "=")
		n, err := strconv.ParseFloat(v, 64)
		if !ok || err != nil {
			return nil, exitErrorf(ExitUsage, "%q is not FIELD=VALUE with a numeric value", s)
		}
		set[policy.Field(f)] = n
	}
	return set, nil
}

// adminClient is a client of the administration API.
type adminClient struct {
	servers []string
	key     string
	stale   bool
	out     io.Writer
	http    *http.Client
}

// do sends a request to the first reachable server.
func (c *adminClient) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	var lastErr error
	for _, server := range c.servers {
		r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(server, "/")+"/api/v1/"+path, bytes.NewReader(body))
		if err != nil {
			return nil, errors.Annotate(err, "build request")
		}
		r.Header = header.Clone()
		r.Header.Set("Authorization", "Bearer "+c.key)
		resp, err := c.http.Do(r)
		if err == nil {
			return resp, nil
		}
		lastErr = err
	}
	return nil, exitErrorf(ExitNoQuorum, "no server is reachable: %v", lastErr)
}

func (c *adminClient) get(ctx context.Context, path string) error {
	if c.stale {
		sep := "?"
		if strings.Contains(path, "?") {
			sep = "&"
		}
		path += sep + "stale=1"
	}
	resp, err := c.do(ctx, http.MethodGet, path, nil, http.Header{})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	_, err = io.Copy(c.out, resp.Body)
	return errors.Annotate(err, "read answer")
}

// revision returns the current revision.
func (c *adminClient) revision(ctx context.Context) (string, error) {
	resp, err := c.do(ctx, http.MethodGet, "force", nil, http.Header{})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", responseError(resp)
	}
	return strings.Trim(resp.Header.Get("ETag"), `"`), nil
}

// change sends a change with a request id and resends it under the same id while its outcome is unknown.
func (c *adminClient) change(ctx context.Context, method, path string, body any, base, request, secret string) error {
	if base == "" {
		var err error
		if base, err = c.revision(ctx); err != nil {
			return err
		}
	}
	if request == "" {
		request = fmt.Sprintf("cli-%d", time.Now().UnixNano())
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Annotate(err, "encode")
	}
	header := http.Header{"If-Match": {strconv.Quote(base)}, "Request-Id": {request}, "Content-Type": {"application/json"}}
	if base == "*" {
		header.Set("If-Match", "*")
	}
	var resp *http.Response
	for try := range adminAttempts {
		resp, err = c.do(ctx, method, path, data, header)
		if err == nil && resp.StatusCode != http.StatusGatewayTimeout || try == adminAttempts-1 {
			break
		}
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return c.printChange(resp, secret)
}

func (c *adminClient) printChange(resp *http.Response, secret string) error {
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		return responseError(resp)
	}
	var ch operator.ChangeResponse
	if err := json.NewDecoder(resp.Body).Decode(&ch); err != nil {
		return errors.Annotate(err, "read answer")
	}
	fmt.Fprintf(c.out, "revision %d\n", ch.Revision)
	if secret != "" {
		fmt.Fprintf(c.out, "secret %s\n", secret)
	}
	if len(ch.NotReached) > 0 {
		fmt.Fprintf(c.out, "not reached at once %v\n", ch.NotReached)
	}
	if resp.StatusCode == http.StatusAccepted {
		return exitErrorf(ExitPending, "accepted; not yet applied by %v", ch.Pending)
	}
	return nil
}

// responseError converts an error response into an error with the matching exit code.
func responseError(resp *http.Response) error {
	var p operator.ErrorResponse
	json.NewDecoder(resp.Body).Decode(&p)
	code := ExitFailed
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusPreconditionRequired:
		code = ExitUsage
	case http.StatusConflict:
		code = ExitConflict
		p.Error += fmt.Sprintf(" (current revision %d)", p.Revision)
	case http.StatusNotFound:
		code = ExitMissing
	case http.StatusUnauthorized, http.StatusForbidden:
		code = ExitDenied
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		code = ExitNoQuorum
	}
	return exitErrorf(code, "%s: %s", resp.Status, p.Error)
}
