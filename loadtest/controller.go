package loadtest

import (
	"fmt"
	"math/rand/v2"

	"harehook.dev/harehook/records"
)

// servicesPerScope is the number of services in a controller's scope.
const servicesPerScope = 6

// Controller describes a controller of the fleet.
type Controller struct {
	Name   string        `json:"name"`
	Region int           `json:"region"`
	Scope  records.Scope `json:"scope"`
}

// Controllers returns the controllers of the fleet. They are spread evenly over the zones; the services in each scope
// are random.
func (c *Configuration) Controllers() (controllers []Controller) {
	rng := rand.New(rand.NewPCG(c.plan.Seed, scopeStream))
	for index := range c.plan.Controllers {
		zone := index % len(c.zones)
		controllers = append(controllers, Controller{
			Name:   fmt.Sprintf("conductor-%04d", index),
			Region: zone % c.plan.Regions,
			Scope:  c.drawScope(rng, c.zones[zone]),
		})
	}
	return controllers
}

// drawScope returns the scope of a controller in a zone, with random services.
func (c *Configuration) drawScope(rng *rand.Rand, zone string) records.Scope {
	scope := records.Scope{Zones: []string{zone}}
	for _, service := range rng.Perm(len(c.services))[:min(servicesPerScope, len(c.services))] {
		scope.Services = append(scope.Services, c.services[service])
	}
	return scope.Normalized()
}
