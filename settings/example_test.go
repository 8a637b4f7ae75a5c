package settings_test

import (
	"errors"
	"fmt"

	"harehook.dev/harehook/settings"
)

func ExampleDecode() {
	deployment, err := settings.Decode([]byte(`{"zones":["north"],"machine-types":["small"],
		"categories":[{"name":"quote","promise-ns":750000000,"gain":2}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(deployment.Routes, deployment.Planner.Routes[0].LatencyObjective, "s")
	// Output: [quote] 0.75 s
}

func ExampleValueError() {
	_, err := settings.Decode([]byte(`{"zones":["north"],"machine-types":["small"],
		"categories":[{"name":"quote","promise-ns":-1}]}`))
	var valueError *settings.ValueError
	if errors.As(err, &valueError) {
		fmt.Println(valueError.Key, valueError.Value)
	}
	// Output: categories[0].promise-ns -1
}
