package app

import (
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/contractparser"
	"bronzelead.example/pkg/launcher"
	"bronzelead.example/pkg/validator"
	"bronzelead.example/pkg/wire"
)

type contractCommands struct {
	Apply   applyCommand   `cmd:"" help:"Put a contract into force. Its Version is the one that it was made from; 0 for a new one."`
	Get     getCommand     `cmd:"" help:"Show a customer's contract."`
	List    listCommand    `cmd:"" help:"List all contracts."`
	History historyCommand `cmd:"" help:"Show the changes of a customer's contract."`
}

type applyCommand struct {
	File     string `arg:"" help:"Contract document."`
	ChangeID string `help:"Id of this change; resending it is safe and gives the first outcome again. Made if empty."`
	Wait     bool   `help:"Wait until the change is in force everywhere."`
}

// Run applies a contract.
func (c *applyCommand) Run(s *environment) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "bronzectl")
	}
	contract, faults := contractparser.Parse(data)
	if len(faults) == 0 {
		faults = validator.Contract(contract)
	}
	if len(faults) > 0 {
		return &exitError{code: launcher.ExitUsage, text: c.File + ":\n" + strings.Join(faults, "\n")}
	}
	if c.ChangeID == "" {
		c.ChangeID = rand.Text()
	}
	res, err := c.apply(s, contract)
	if err != nil {
		return errors.Wrapf(err, "change %s may have been taken; resend it with --change-id %s", c.ChangeID, c.ChangeID)
	}
	return c.report(s, res)
}

func (c *applyCommand) apply(s *environment, contract *wire.Contract) (res *wire.ApplyResponse, err error) {
	req := &wire.ApplyRequest{ChangeId: c.ChangeID, BaseVersion: contract.GetVersion(), Contract: contract}
	err = s.call(func(o wire.Operator) error {
		res, err = o.Apply(s.ctx, req)
		return err
	})
	return res, err
}

func (c *applyCommand) report(s *environment, res *wire.ApplyResponse) error {
	current := res.GetContract()
	switch {
	case res.GetReused():
		return &exitError{code: exitConflict, text: "change id " + c.ChangeID + " was used before for another change"}
	case res.GetConflict():
		return &exitError{code: exitConflict, text: fmt.Sprintf(
			"conflict: the contract of %s has version %d now; get it and make the change again", current.GetCustomer(), current.GetVersion())}
	}
	if err := s.print(res, fmt.Sprintf("%s has version %d, revision %d, change %s",
		current.GetCustomer(), current.GetVersion(), res.GetRevision(), c.ChangeID)); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	return s.waitInForce(res.GetRevision())
}

// waitInForce waits until all live sessions have applied a revision.
func (s *environment) waitInForce(revision uint64) error {
	start := s.clock.Now()
	missing := ""
	for {
		res := &wire.InForceResponse{}
		err := s.call(func(o wire.Operator) (err error) {
			res, err = o.InForce(s.ctx, &wire.InForceRequest{Revision: revision})
			return err
		})
		if err == nil && res.GetInForce() {
			_, err = fmt.Fprintf(s.out, "in force everywhere after %s\n", s.clock.Now().Sub(start).Round(time.Millisecond))
			return errors.Wrap(err, "bronzectl")
		}
		if names := missingNames(res); names != "" {
			missing = names
		}
		if !s.pause(0) {
			return &exitError{code: exitNotInForce, text: "not in force everywhere yet; missing: " + missing}
		}
	}
}

func missingNames(res *wire.InForceResponse) string {
	var names []string
	for _, m := range res.GetMissing() {
		names = append(names, fmt.Sprintf("%s (silent for %s)", m.GetInstance(), time.Duration(m.GetSilentNs()).Round(time.Millisecond)))
	}
	return strings.Join(names, ", ")
}

type getCommand struct {
	Customer string `arg:"" help:"Customer."`
}

// Run shows a contract.
func (c *getCommand) Run(s *environment) error {
	res := &wire.GetResponse{}
	err := s.call(func(o wire.Operator) (err error) {
		res, err = o.Get(s.ctx, &wire.GetRequest{Customer: c.Customer})
		return err
	})
	if err != nil {
		return err
	}
	return s.print(res.GetContract(), strings.TrimRight(contractparser.Format(res.GetContract()), "\n"))
}

type listCommand struct{}

// Run lists contracts.
func (c *listCommand) Run(s *environment) error {
	res := &wire.ListResponse{}
	err := s.call(func(o wire.Operator) (err error) {
		res, err = o.List(s.ctx, &wire.ListRequest{})
		return err
	})
	if err != nil {
		return err
	}
	t := newTable("CUSTOMER", "VERSION", "AT ONCE", "QUEUE", "DEADLINE", "ADAPTERS", "SERVICES")
	for _, k := range res.GetContracts() {
		t.add(k.GetCustomer(), k.GetVersion(), k.GetRequestsAtOnce(), k.GetQueueLength(),
			time.Duration(k.GetDeadlineNs()), len(k.GetAdapters()), len(k.GetServices()))
	}
	return s.print(res, t.String())
}

type historyCommand struct {
	Customer string `arg:"" help:"Customer."`
}

// Run shows the changes of a contract.
func (c *historyCommand) Run(s *environment) error {
	res := &wire.HistoryResponse{}
	err := s.call(func(o wire.Operator) (err error) {
		res, err = o.History(s.ctx, &wire.HistoryRequest{Customer: c.Customer})
		return err
	})
	if err != nil {
		return err
	}
	t := newTable("VERSION", "REVISION", "AT", "OPERATOR", "CHANGE")
	for _, ch := range res.GetChanges() {
		t.add(ch.GetContract().GetVersion(), ch.GetRevision(), time.Unix(0, ch.GetAtNs()).UTC().Format(time.RFC3339),
			ch.GetOperator(), ch.GetChangeId())
	}
	return s.print(res, t.String())
}
