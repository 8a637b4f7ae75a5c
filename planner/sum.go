package planner

// sum returns the sum of values, added in their order.
func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
