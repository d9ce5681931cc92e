package host

import (
	"context"
	"fmt"
	"testing"

	"sesamehill.example/sesamehill/internal/admit"
	"sesamehill.example/sesamehill/internal/member"
)

// Guards against a demand report that is dropped because it exceeds its budget, and
// against a report that omits the accounts with the largest demand.
func TestDemandPartKeepsTheLargestAccounts(t *testing.T) {
	g := newAdmissionQueue()
	g.setAccounts(capacityDocument(20).Accounts)
	g.setSize(1, 1000)
	for i := range 20 {
		for range i + 1 {
			if _, err := g.waitForStart(context.Background(), capacityAdmission(i)); err != nil {
				t.Fatal(err)
			}
		}
	}
	h := &Host{admission: g}
	h.settings.Name = "host-with-a-long-name-000"
	data := h.demandExtension().Build(member.Member{}, demandBudget)
	var r admit.Report
	if err := member.Decode(data, &r); err != nil {
		t.Fatal(err)
	}
	if len(data) > demandBudget || len(r.Demand) < 3 {
		t.Fatalf("%d accounts in %d of %d bytes", len(r.Demand), len(data), demandBudget)
	}
	for i := range len(r.Demand) {
		if name := fmt.Sprintf("account-%05d", 19-i); r.Demand[name] == 0 {
			t.Errorf("report %v lacks %s", r.Demand, name)
		}
	}
}
