package scaling

// The resources that one controller may use at the operators' size.
const (
	BudgetCore      = 0.011     // fraction of one core
	BudgetMemory    = 128 << 20 // bytes
	BudgetBandwidth = 16 << 10  // bytes per second
)

// The size of the operators' fleet.
const (
	OperatorsNodes       = 13000
	OperatorsControllers = 1700
	OperatorsServices    = 570
	OperatorsRoutes      = 3400
	OperatorsTenants     = 140000
	OperatorsZones       = 42
)
