package records_test

import (
	"errors"
	"fmt"

	"harehook.dev/harehook/records"
)

var (
	payService  = records.Key{Kind: records.KindService, Name: "pay"}
	quoteRoute  = records.Key{Kind: records.KindRoute, Name: "quote"}
	tenantOfPay = records.Key{Kind: records.KindTenant, Name: "till"}
)

// newStore returns a store that has a service and one of its routes at revision 1.
func newStore() *records.Store {
	store := records.NewStore()
	_, err := store.Apply(1, records.Transaction{Writes: []records.Write{
		{Key: payService, Body: []byte(`{"zones":["north"]}`)},
		{Key: quoteRoute, Body: []byte(`{"service":"pay","prefix":"/quote","time_limit_ms":2000}`)},
	}})
	if err != nil {
		panic(err)
	}
	return store
}

// A transaction is applied atomically at a revision. The Change describes its effect.
func ExampleStore() {
	store := newStore()
	change, err := store.Apply(2, records.Transaction{Writes: []records.Write{
		{Key: tenantOfPay, Body: []byte(`{"service":"pay","share":0.25}`)},
	}})
	if err != nil {
		panic(err)
	}
	for _, update := range change.Updates {
		fmt.Printf("%s at revision %d, was there before: %v\n", update.Key(), change.Revision, update.Before != nil)
	}
	for _, record := range store.InScope(records.Scope{Services: []string{"pay"}}).Records {
		fmt.Println(record.Key, record.Revision, string(record.Body))
	}
	// Output:
	// tenant/till at revision 2, was there before: false
	// route/quote 1 {"service":"pay","prefix":"/quote","time_limit_ms":2000}
	// service/pay 1 {"zones":["north"]}
	// tenant/till 2 {"service":"pay","share":0.25}
}

// The type of the error identifies the cause of a rejection. The store is unchanged.
func ExampleStore_Apply() {
	store := newStore()
	_, err := store.Apply(2, records.Transaction{Writes: []records.Write{{Key: payService, ExpectedRevision: 7}}})
	var conflict *records.ConflictError
	if errors.As(err, &conflict) {
		fmt.Println("conflict:", conflict.Conflicts[0])
	}
	_, err = store.Apply(2, records.Transaction{Writes: []records.Write{{Key: payService, ExpectedRevision: 1}}})
	var broken *records.CheckError
	if errors.As(err, &broken) {
		fmt.Println("broken rule:", broken.Violations[0].Key)
	}
	fmt.Println("revision", store.Revision())
	// Output:
	// conflict: service/pay has revision 1, 7 was expected
	// broken rule: service/pay
	// revision 1
}

// A follower requests the changes since its revision.
func ExampleStore_Since() {
	store := newStore()
	_, err := store.Apply(2, records.Transaction{Writes: []records.Write{
		{Key: quoteRoute, Body: []byte(`{"service":"pay","prefix":"/quote","time_limit_ms":1500}`), ExpectedRevision: 1},
	}})
	if err != nil {
		panic(err)
	}
	delta := store.Since(1, records.Scope{Services: []string{"pay"}})
	for _, update := range delta.Updates {
		fmt.Println(update.Key(), "from revision", update.Before.Revision, "to", update.After.Revision)
	}
	fmt.Println("complete as of revision", delta.Revision)
	// Output:
	// route/quote from revision 1 to 2
	// complete as of revision 2
}

func ExampleParseKey() {
	key, err := records.ParseKey("service/pay")
	fmt.Println(key.Kind, key.Name, err)
	_, err = records.ParseKey("servce/pay")
	fmt.Println(err)
	// Output:
	// service pay <nil>
	// record kind "servce" is not known
}
