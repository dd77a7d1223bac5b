package app

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/wire"
)

type statusCommand struct{}

// Run shows the state of the whole system.
func (c *statusCommand) Run(s *environment) error {
	res, err := s.status()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("leader %s, term %d, applied %d, revision %d, claims %d\n\n%s\n\n%s\n\n%s\n\n%s",
		res.GetLeader(), res.GetTerm(), res.GetApplied(), res.GetRevision(), res.GetClaims(),
		memberTable(res.GetConfiguration(), res.GetLeader()), sessionTable(res.GetSessions()),
		backendTable(res), placementTable(res.GetPlacements()))
	return s.print(res, text)
}

func (s *environment) status() (res *wire.StatusResponse, err error) {
	err = s.call(func(o wire.Operator) error {
		res, err = o.Status(s.ctx, &wire.StatusRequest{})
		return err
	})
	return res, err
}

func sessionTable(sessions []*wire.SessionStatus) string {
	t := newTable("GATEWAY", "ZONE", "ADDRESS", "SESSION", "REVISION", "SILENT")
	for _, g := range sessions {
		t.add(g.GetInstance(), g.GetZone(), g.GetAddress(), g.GetSession(), g.GetRevision(),
			time.Duration(g.GetSilentNs()).Round(time.Millisecond))
	}
	return t.String()
}

func backendTable(res *wire.StatusResponse) string {
	t := newTable("BACKEND", "ZONE", "ADDRESS", "SERVES", "RUNNING", "WAITING", "LOADED", "STATE")
	for _, b := range res.GetBackends() {
		state := "Working"
		if b.GetLeaving() {
			state = "Leaving"
		}
		for _, name := range res.GetDrained() {
			if name == b.GetName() {
				state = "Drained"
			}
		}
		t.add(b.GetName(), b.GetZone(), b.GetAddress(), b.GetBaseModel()+b.GetService(), b.GetRunning(), b.GetWaiting(),
			len(b.GetLoaded()), state)
	}
	return t.String()
}

func placementTable(placements []*wire.PlacementStatus) string {
	t := newTable("ADAPTER", "BACKEND", "STATE", "HOLDERS")
	for _, p := range placements {
		t.add(p.GetAdapter(), p.GetBackend(), p.GetState(), p.GetHolders())
	}
	return t.String()
}

func memberTable(config *wire.Configuration, leader string) string {
	t := newTable("CONTROLLER", "ZONE", "ADDRESS", "ROLE")
	for _, m := range config.GetVoters() {
		role := "Voter"
		if m.GetId() == leader {
			role = "Leader"
		}
		t.add(m.GetId(), m.GetZone(), m.GetAddress(), role)
	}
	for _, m := range config.GetLearners() {
		t.add(m.GetId(), m.GetZone(), m.GetAddress(), "Learner")
	}
	return t.String()
}

type explainCommand struct {
	Request string   `arg:"" help:"Request id, as in the X-Request-Id of an answer."`
	Log     []string `short:"l" placeholder:"FILE" help:"Logs of the processes to read instead of asking the gateways; - is standard input."`
}

// offline reports whether the command needs no controllers.
func (c *explainCommand) offline() bool { return len(c.Log) > 0 }

// Run shows what was decided for a request, from logs or by querying the gateways.
func (c *explainCommand) Run(s *environment) error {
	if c.offline() {
		return c.printTrace(s)
	}
	status, err := s.status()
	if err != nil {
		return err
	}
	for _, g := range status.GetSessions() {
		body, err := s.fetchExplanation(g.GetAddress(), c.Request)
		if err != nil {
			continue
		}
		return c.print(s, g.GetInstance(), body)
	}
	return errors.Errorf("no gateway knows request %s", c.Request)
}

func (s *environment) fetchExplanation(address, request string) ([]byte, error) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+address+"/operator/explain/"+request, nil)
	if err != nil {
		return nil, errors.Wrap(err, "bronzectl")
	}
	res, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return nil, errors.New(res.Status)
	}
	body, err := io.ReadAll(res.Body)
	return body, errors.Wrap(err, "bronzectl")
}

type account struct {
	Customer string
	Steps    []struct {
		At   time.Time
		What string
	}
}

func (c *explainCommand) print(s *environment, gateway string, body []byte) error {
	if s.json {
		_, err := fmt.Fprintln(s.out, string(body))
		return errors.Wrap(err, "bronzectl")
	}
	a := &account{}
	if err := json.Unmarshal(body, a); err != nil {
		return errors.Wrap(err, "bronzectl")
	}
	b := &strings.Builder{}
	_, _ = fmt.Fprintf(b, "request %s of %s at %s", c.Request, a.Customer, gateway)
	for _, step := range a.Steps {
		_, _ = fmt.Fprintf(b, "\n%s  %s", step.At.UTC().Format("15:04:05.000"), step.What)
	}
	_, err := fmt.Fprintln(s.out, b.String())
	return errors.Wrap(err, "bronzectl")
}

type backendCommands struct {
	List  backendListCommand `cmd:"" help:"List backend servers."`
	Drain drainCommand       `cmd:"" help:"Give a backend server no new work, or undo that."`
}

type backendListCommand struct{}

// Run lists backend servers.
func (c *backendListCommand) Run(s *environment) error {
	res, err := s.status()
	if err != nil {
		return err
	}
	return s.print(res, backendTable(res))
}

type drainCommand struct {
	Backend string `arg:"" help:"Name of the backend server."`
	Undo    bool   `help:"Let it have work again."`
}

// Run drains a backend server.
func (c *drainCommand) Run(s *environment) error {
	err := s.call(func(o wire.Operator) error {
		_, err := o.Drain(s.ctx, &wire.DrainRequest{Backend: c.Backend, Undo: c.Undo})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(&wire.DrainResponse{}, c.Backend+": taken; gateways know within their next renewal")
}

type memberCommands struct {
	List   memberListCommand   `cmd:"" help:"List controllers."`
	Add    memberAddCommand    `cmd:"" help:"Admit a controller; it joins when it runs."`
	Remove memberRemoveCommand `cmd:"" help:"Remove a controller."`
}

type memberListCommand struct{}

// Run lists controllers.
func (c *memberListCommand) Run(s *environment) error {
	res := &wire.MembersResponse{}
	err := s.call(func(o wire.Operator) (err error) {
		res, err = o.Members(s.ctx, &wire.MembersRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(res, memberTable(res.GetConfiguration(), res.GetLeader())+"\n\nadmitted: "+strings.Join(res.GetAdmitted(), ", "))
}

type memberAddCommand struct {
	Name string `arg:"" help:"Name of the instance."`
}

// Run admits a controller.
func (c *memberAddCommand) Run(s *environment) error {
	err := s.call(func(o wire.Operator) error {
		_, err := o.AddMember(s.ctx, &wire.MemberRequest{Name: c.Name})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(&wire.MemberResponse{}, c.Name+" is admitted and joins when it runs")
}

type memberRemoveCommand struct {
	Name string `arg:"" help:"Name of the instance."`
}

// Run removes a controller.
func (c *memberRemoveCommand) Run(s *environment) error {
	err := s.call(func(o wire.Operator) error {
		_, err := o.RemoveMember(s.ctx, &wire.MemberRequest{Name: c.Name})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(&wire.MemberResponse{}, c.Name+" is removed")
}

type keyCommands struct {
	New keyNewCommand `cmd:"" help:"Make a key and print it with its digest."`
}

type keyNewCommand struct{}

// Run makes a key.
func (c *keyNewCommand) Run(s *environment) error {
	key := rand.Text()
	_, err := fmt.Fprintf(s.out, "key    %s\ndigest %s\n", key, authenticator.DigestOf(key))
	return errors.Wrap(err, "bronzectl")
}
