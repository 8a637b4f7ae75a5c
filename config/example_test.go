package config_test

import (
	"errors"
	"fmt"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/internal/kdl"
)

// An agreed configuration is parsed and formatted. Routes with longer prefixes come first.
func ExampleParseAgreed() {
	agreed, err := config.ParseAgreed(`agreed {
  route "all" service="shop" { prefix "/quote"; limit-ms 500; }
  override "node-7" state="draining"
}`)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, route := range agreed.Routes {
		fmt.Println(route.Name, route.Prefix, route.TimeLimit)
	}
	fmt.Print(config.TextFormat{}.Format(agreed.Records))
	// Output:
	// all /quote 500ms
	// agreed {
	//   route "all" service="shop" { prefix "/quote"; limit-ms 500; }
	//   override "node-7" state="draining"
	// }
}

// Each fault of a configuration states its line.
func ExampleParseRecordWrites_faults() {
	_, err := config.ParseRecordWrites(`service "shop"
service "shop"
remove "tenant/x" revision=0.5
`)
	var faults kdl.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			fmt.Println(fault.Line, fault.Reason)
		}
	}
	// Output:
	// 2 duplicate service "shop"
	// 3 revision must be a whole number, got 0.5
}
