package loadtest

import (
	"reflect"
	"testing"

	"harehook.dev/harehook/records"
)

// A wrong model would report violations that do not exist, or miss real ones. The test compares it with the store of
// package records for each scope after each change; the store must also accept all generated changes.
func TestModelAgreesWithTheStore(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		plan := smallPlan()
		plan.Seed = seed
		configuration, err := Generate(plan)
		if err != nil {
			t.Fatal(err)
		}
		controllers := configuration.Controllers()
		model := NewModel(controllers)
		store := records.NewStore()
		revision := uint64(0)
		apply := func(transaction records.Transaction) {
			t.Helper()
			revision += 2
			if err := transaction.Validate(); err != nil {
				t.Fatal(err)
			}
			if _, err := store.Apply(revision, transaction); err != nil {
				t.Fatal(err)
			}
			configuration.RecordAgreed(transaction, revision)
		}
		for _, transaction := range configuration.LoadTransactions() {
			apply(transaction)
			if err := model.Load(transaction, revision); err != nil {
				t.Fatal(err)
			}
		}
		model.FinishLoad()
		for range 300 {
			transaction, err := configuration.NextChange()
			if err != nil {
				t.Fatal(err)
			}
			apply(transaction)
			if _, err := model.ApplyChange(transaction, revision); err != nil {
				t.Fatal(err)
			}
			for index, controller := range controllers {
				received := map[records.Key]*records.Record{}
				for _, record := range store.InScope(controller.Scope).Records {
					received[record.Key] = record
				}
				if digest, known := model.DigestAt(index, revision); !known || digest != DigestOfAll(received) {
					t.Fatalf("seed %d, revision %d, %s: got digest %x (known %t) from the model, want %x from the store",
						seed, revision, controller.Name, digest, known, DigestOfAll(received))
				}
			}
		}
	}
}

func TestModelKnowsEarlierRevisions(t *testing.T) {
	t.Parallel()
	scope := records.Scope{Services: []string{"a"}}
	model := NewModel([]Controller{{Name: "one", Scope: scope}})
	write := func(admit string) records.Transaction {
		body := []byte(`{"service":"a","prefix":"/a","time_limit_ms":100,"admit":` + admit + `}`)
		return records.Transaction{Writes: []records.Write{{Key: records.Key{Kind: records.KindRoute, Name: "r"}, Body: body}}}
	}
	if err := model.Load(write("0.5"), 4); err != nil {
		t.Fatal(err)
	}
	model.FinishLoad()
	if _, err := model.ApplyChange(write("0.6"), 7); err != nil {
		t.Fatal(err)
	}
	if _, known := model.DigestAt(0, 3); known {
		t.Error("the digest at revision 3, before the load, is known")
	}
	before, _ := model.DigestAt(0, 6)
	loaded, _ := model.DigestAt(0, 4)
	after, _ := model.DigestAt(0, 9)
	if before != loaded || after == before {
		t.Errorf("got digests %x at revision 4, %x at 6, %x at 9; want the first two equal and the third different", loaded, before, after)
	}
}

func TestSeedDeterminesTheConfiguration(t *testing.T) {
	t.Parallel()
	draw := func(seed uint64) []records.Transaction {
		plan := smallPlan()
		plan.Seed = seed
		configuration, err := Generate(plan)
		if err != nil {
			t.Fatal(err)
		}
		transactions := configuration.LoadTransactions()
		for range 20 {
			next, err := configuration.NextChange()
			if err != nil {
				t.Fatal(err)
			}
			transactions = append(transactions, next)
		}
		return transactions
	}
	if !reflect.DeepEqual(draw(1), draw(1)) {
		t.Error("seed 1 generates two different configurations")
	}
	if reflect.DeepEqual(draw(1), draw(2)) {
		t.Error("seeds 1 and 2 generate the same configuration")
	}
}

func TestTenantsHaveAHeavyTail(t *testing.T) {
	t.Parallel()
	plan := OperatorsPlan()
	plan.Tenants = 20000
	configuration, err := Generate(plan)
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for _, name := range configuration.tenants {
		count[configuration.serviceOf[records.Key{Kind: records.KindTenant, Name: name}]]++
	}
	first, middle := count[configuration.services[0]], count[configuration.services[plan.Services/2]]
	if first < 20*max(1, middle) {
		t.Errorf("the first service has %d tenants and the middle one %d, want at least 20 times as many", first, middle)
	}
}
