package kdl_test

import (
	"fmt"

	"harehook.dev/harehook/internal/kdl"
)

// A document is parsed into nodes. Numbers have type float64.
func ExampleParse() {
	nodes, err := kdl.Parse(`node "node-1" zone="north" {
  weight 2.5;
}`)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, node := range nodes {
		fmt.Println(node.Line, node.Name, node.Arguments[0].Data, node.Properties["zone"].Data)
		for _, child := range node.Children {
			fmt.Println(child.Line, child.Name, child.Arguments[0].Data)
		}
	}
	_, err = kdl.Parse("node\nweight=\n")
	fmt.Println(err)
	// Output:
	// 1 node node-1 north
	// 2 weight 2.5
	// line 2: unexpected token "="
}
