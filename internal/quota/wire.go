package quota

import (
	"errors"
	"fmt"
	"time"
)

// Limits of decoded messages.
const (
	maxItems  = 4096
	maxName   = 253
	maxTokens = int64(1) << 50
)

// ID identifies a transfer by the process that started it and a sequence number
// of that process.
type ID struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

func (i ID) validate() error {
	if i.Node == "" || len(i.Node) > maxName || i.Seq == 0 {
		return errors.New("transfer ID without node or sequence number")
	}
	return nil
}

// DepositRequest asks a node to deposit its slots for all workspaces for which
// the sender is the pool. ID.Node is that pool.
type DepositRequest struct {
	ID ID `cbor:"1,keyasint"`
	// Set identifies the list of workspaces within the pool's incarnation.
	Set uint64 `cbor:"2,keyasint"`
	// Workspaces is left out once the depositor has confirmed the same Set.
	Workspaces []string `cbor:"3,keyasint,omitempty"`
	// Epoch is the pool's current epoch, which returns to it have to carry.
	Epoch uint64 `cbor:"4,keyasint"`
}

// Validate checks a decoded message.
func (r DepositRequest) Validate() error {
	if err := r.ID.validate(); err != nil {
		return fmt.Errorf("deposit request: %w", err)
	}
	return prefixError("deposit request", validateNames(r.Workspaces))
}

// DepositReply hands over the depositor's slots for every workspace of the set
// except those in Except. Rate and capacity follow from the number of slots and
// the configuration, so the message stays small with many workspaces.
type DepositReply struct {
	Seq uint64 `cbor:"1,keyasint"`
	// UnknownSet asks the pool to send its list of workspaces again.
	UnknownSet bool `cbor:"2,keyasint,omitempty"`
	Slots      int  `cbor:"3,keyasint,omitempty"`
	// Except lists workspaces that are not handed over.
	Except []string `cbor:"4,keyasint,omitempty"`
	// Levels lists the workspaces with a level or a debt.
	Levels []DepositLevel `cbor:"5,keyasint,omitempty"`
	// Returns carries the returns to this pool, which saves a separate message.
	Returns []ReturnItem `cbor:"6,keyasint,omitempty"`
}

// DepositLevel is the state of a workspace's bucket that comes with deposited
// slots.
type DepositLevel struct {
	Workspace string `cbor:"1,keyasint"`
	Tokens    int64  `cbor:"2,keyasint,omitempty"`
	// Debt is the depositor's outstanding loans. It lowers the capacity of the
	// deposit.
	Debt int64 `cbor:"3,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r DepositReply) Validate() error {
	if r.Seq == 0 || r.Slots < 0 || r.Slots > SlotCount {
		return fmt.Errorf("deposit reply: sequence %d, %d slots", r.Seq, r.Slots)
	}
	if len(r.Levels) > maxItems {
		return fmt.Errorf("deposit reply: %d levels", len(r.Levels))
	}
	for _, l := range r.Levels {
		if err := validateItem(l.Workspace, l.Tokens, l.Debt); err != nil {
			return fmt.Errorf("deposit reply: %w", err)
		}
	}
	if err := validateReturnItems(r.Returns); err != nil {
		return fmt.Errorf("deposit reply: %w", err)
	}
	return prefixError("deposit reply", validateNames(r.Except))
}

// DrawRequest asks a pool for tokens.
type DrawRequest struct {
	ID ID `cbor:"1,keyasint"`
	// Hops is 0 from a node to its pool, 1 from a pool to another domain, and 2
	// when the receiver has to serve the draw itself: from a node of that domain
	// to its pool, and from a pool to the former pool of its own domain.
	Hops  int        `cbor:"2,keyasint,omitempty"`
	Items []DrawItem `cbor:"3,keyasint"`
}

// DrawItem requests tokens of one workspace.
type DrawItem struct {
	Workspace string `cbor:"1,keyasint"`
	// Need is the smallest useful amount; 0 accepts any part of Want.
	Need int64 `cbor:"2,keyasint,omitempty"`
	// Want is Need plus the tokens that the node expects to use soon.
	Want int64 `cbor:"3,keyasint"`
}

// Validate checks a decoded message.
func (r DrawRequest) Validate() error {
	if err := r.ID.validate(); err != nil {
		return fmt.Errorf("draw request: %w", err)
	}
	if r.Hops < 0 || r.Hops > 2 || len(r.Items) == 0 || len(r.Items) > maxItems {
		return fmt.Errorf("draw request: %d hops, %d items", r.Hops, len(r.Items))
	}
	for _, i := range r.Items {
		if err := validateItem(i.Workspace, i.Need, i.Want); err != nil {
			return fmt.Errorf("draw request: %w", err)
		}
		if i.Need > i.Want {
			return fmt.Errorf("draw request: need %d above want %d", i.Need, i.Want)
		}
	}
	return nil
}

// DrawReply answers a DrawRequest.
type DrawReply struct {
	ID ID `cbor:"1,keyasint"`
	// Epoch is the pool's current epoch, which returns to it have to carry.
	Epoch     uint64             `cbor:"2,keyasint"`
	Grants    []DrawGrant        `cbor:"3,keyasint,omitempty"`
	Available []DrawAvailability `cbor:"4,keyasint,omitempty"`
}

// DrawGrant is a loan. The borrower counts TermMillis from before it sent the
// request.
type DrawGrant struct {
	Workspace  string `cbor:"1,keyasint"`
	Tokens     int64  `cbor:"2,keyasint"`
	TermMillis int64  `cbor:"3,keyasint"`
	// Loan identifies the loan at its lender; 0 if it can't be returned.
	Loan uint64 `cbor:"4,keyasint,omitempty"`
	// Lender and Epoch are set when the pool lends tokens that it has borrowed.
	Lender string `cbor:"5,keyasint,omitempty"`
	Epoch  uint64 `cbor:"6,keyasint,omitempty"`
}

// DrawAvailability reports the tokens that are still available at the pool. For
// an item that was not granted it also has the reason and the time to wait
// before trying again.
type DrawAvailability struct {
	Workspace   string `cbor:"1,keyasint"`
	Available   int64  `cbor:"2,keyasint,omitempty"`
	AfterMillis int64  `cbor:"3,keyasint,omitempty"`
	Reason      Reason `cbor:"4,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r DrawReply) Validate() error {
	if err := r.ID.validate(); err != nil {
		return fmt.Errorf("draw reply: %w", err)
	}
	if len(r.Grants) > maxItems || len(r.Available) > maxItems {
		return fmt.Errorf("draw reply: %d grants, %d availability entries", len(r.Grants), len(r.Available))
	}
	for _, g := range r.Grants {
		if err := validateItem(g.Workspace, g.Tokens, 0); err != nil {
			return fmt.Errorf("draw reply: %w", err)
		}
		if g.TermMillis < 0 || g.TermMillis > DepositTerm.Milliseconds() {
			return fmt.Errorf("draw reply: term of %d ms", g.TermMillis)
		}
		if len(g.Lender) > maxName {
			return errors.New("draw reply: lender name too long")
		}
	}
	for _, a := range r.Available {
		if err := validateItem(a.Workspace, a.Available, a.AfterMillis); err != nil {
			return fmt.Errorf("draw reply: %w", err)
		}
		if a.Reason < ReasonNone || a.Reason > reasonLast {
			return fmt.Errorf("draw reply: reason %d", a.Reason)
		}
	}
	return nil
}

// ReturnRequest returns tokens to a pool.
type ReturnRequest struct {
	ID ID `cbor:"1,keyasint"`
	// Epoch is the receiving pool's epoch. A pool ignores returns that carry an
	// earlier one, because it no longer knows which of them it has credited.
	Epoch uint64       `cbor:"2,keyasint"`
	Items []ReturnItem `cbor:"3,keyasint"`
	// CrossDomain is set on returns to another domain. Their refunds were
	// forwarded by a pool at its capacity and go to no further domain.
	CrossDomain bool `cbor:"4,keyasint,omitempty"`
}

// ReturnItem is an unused or spent part of a loan, or a refund when Loan is 0.
type ReturnItem struct {
	Workspace string `cbor:"1,keyasint"`
	Tokens    int64  `cbor:"2,keyasint"`
	Loan      uint64 `cbor:"3,keyasint,omitempty"`
	// Spent means that the tokens were charged: the lender restores its capacity
	// before the deadline, but not its level.
	Spent bool `cbor:"4,keyasint,omitempty"`
}

// Validate checks a decoded message.
func (r ReturnRequest) Validate() error {
	if err := r.ID.validate(); err != nil {
		return fmt.Errorf("return request: %w", err)
	}
	return prefixError("return request", validateReturnItems(r.Items))
}

func validateReturnItems(items []ReturnItem) error {
	if len(items) > maxItems {
		return fmt.Errorf("%d items", len(items))
	}
	for _, i := range items {
		if err := validateItem(i.Workspace, i.Tokens, 0); err != nil {
			return err
		}
		if i.Spent && i.Loan == 0 {
			return errors.New("spent tokens without a loan")
		}
	}
	return nil
}

// ReturnReply answers a ReturnRequest.
type ReturnReply struct {
	Seq uint64 `cbor:"1,keyasint"`
	// Epoch is the pool's current epoch.
	Epoch uint64 `cbor:"2,keyasint"`
}

// Validate checks a decoded message.
func (r ReturnReply) Validate() error {
	if r.Seq == 0 {
		return errors.New("return reply: no sequence number")
	}
	return nil
}

// Reason is why tokens were not granted.
type Reason int

// The values of Reason.
const (
	ReasonNone Reason = iota
	// ReasonRate means that the workspace has used up its rate and burst.
	ReasonRate
	// ReasonBurst means that the request is larger than the workspace's burst.
	ReasonBurst
	// ReasonUnknown means that the configuration has no such workspace.
	ReasonUnknown
	// ReasonDomainUnreachable means that the domain had too few tokens and
	// another domain that holds a share didn't answer.
	ReasonDomainUnreachable
	// ReasonNoSlots means that the domain has a share of the workspace, but its
	// pool has no usable slots or deposits, or the share is not confirmed yet.
	ReasonNoSlots
	// ReasonExpired means that the deadline of the tokens passed before the first
	// byte was sent.
	ReasonExpired
	// ReasonTimeout means that the pool didn't answer in time.
	ReasonTimeout
	reasonLast = ReasonTimeout
)

var reasonNames = [...]string{"none", "rate", "burst", "unknown workspace", "domain unreachable", "no slots", "expired", "no answer"}

// String implements fmt.Stringer.
func (r Reason) String() string {
	if r < 0 || int(r) >= len(reasonNames) {
		return fmt.Sprintf("Reason(%d)", int(r))
	}
	return reasonNames[r]
}

func validateNames(list []string) error {
	if len(list) > maxItems {
		return fmt.Errorf("%d workspaces", len(list))
	}
	for _, w := range list {
		if err := validateItem(w, 0, 0); err != nil {
			return err
		}
	}
	return nil
}

func validateItem(workspace string, a, b int64) error {
	if workspace == "" || len(workspace) > maxName {
		return fmt.Errorf("workspace name of %d bytes", len(workspace))
	}
	if a < 0 || a > maxTokens || b < 0 || b > maxTokens {
		return fmt.Errorf("workspace %s: amount out of range", workspace)
	}
	return nil
}

func prefixError(what string, err error) error {
	if err != nil {
		return fmt.Errorf("%s: %w", what, err)
	}
	return nil
}

func millis(d time.Duration) int64 {
	return max(0, d.Milliseconds())
}
