package fleet

import (
	"errors"
	"fmt"
	"net/netip"
)

// Bounds on what another process says of an endpoint. They are far above what engines
// hold, and small enough for the memory of the smallest VMs and for messages to peers.
const (
	maxName     = 200
	maxSlots    = 1 << 20
	maxHoldings = 4096
)

// Validate checks a decoded endpoint: its names can be sent in headers, requests can be
// sent to its address, and its numbers can be calculated with.
func (e *Endpoint) Validate() error {
	if !isName(e.ID) || !isName(e.Service) || len(e.Domain) > maxName {
		return errors.New("fleet: the id, service or domain is empty, too long or not printable")
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() || address.Addr().Zone() != "" {
		return fmt.Errorf("fleet: %.60q is not the address of an endpoint", e.Address)
	}
	if e.Incarnation <= 0 || e.Slots < 0 || e.Slots > maxSlots {
		return fmt.Errorf("fleet: incarnation %d or slots %d out of range", e.Incarnation, e.Slots)
	}
	return validateHoldings(e.Models)
}

// Validate checks a decoded report.
func (r *Report) Validate() error {
	for _, n := range []int{r.Queued, r.Active, r.CacheUsed, r.CacheTotal} {
		if n < 0 || n > maxCount {
			return fmt.Errorf("fleet: the report has the number %d", n)
		}
	}
	if r.Key.Incarnation <= 0 || r.OrdersAccepted < 0 {
		return fmt.Errorf("fleet: incarnation %d or number of orders %d out of range", r.Key.Incarnation, r.OrdersAccepted)
	}
	for _, list := range [][]string{r.LoadingAdapters, r.InMemory, r.OnDisk} {
		if len(list) > maxHoldings {
			return fmt.Errorf("fleet: the report lists %d names", len(list))
		}
		for _, name := range list {
			if len(name) > 3*maxName {
				return fmt.Errorf("fleet: the report has a name of %d bytes", len(name))
			}
		}
	}
	return validateHoldings(r.Models)
}

// maxCount bounds requests and tokens of one engine, so that sums don't overflow.
const maxCount = 1 << 40

func validateHoldings(models []Resident) error {
	count := len(models)
	for i := range models {
		count += len(models[i].Adapters)
		if !isName(models[i].Model) {
			return fmt.Errorf("fleet: %.40q is not the name of a model", models[i].Model)
		}
		for _, a := range models[i].Adapters {
			if !isName(a) {
				return fmt.Errorf("fleet: %.40q is not the name of an adapter", a)
			}
		}
	}
	if count > maxHoldings {
		return fmt.Errorf("fleet: %d models and adapters, at most %d are allowed", count, maxHoldings)
	}
	return nil
}

// isName reports whether a text is a name of printable ASCII characters without spaces.
func isName(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxName
}
