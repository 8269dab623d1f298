package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	growHost = "jepu9.example"
	// growStep is the number of routes that each change adds, and growSteps the number of changes.
	growStep, growSteps = 480, 10
	// growPause is the time between two changes.
	growPause = 1800 * time.Millisecond
	// configApply is the bound of the same name.
	configApply = 2 * time.Second
	// growRequests is the number of requests that are sent when the last change must be in force.
	growRequests = 20
)

// playGrow adds routes to the configuration, and then moves a route to another service. CONFIG is broken
// if the old service still runs its requests later than configApply after that. Without the trouble no
// routes are added.
func playGrow(c *cluster, trouble bool) (bool, error) {
	services := []string{"guia-vias", "padron-socios"}
	for i := range 4 {
		if _, err := c.add(services[i%2], nil); err != nil {
			return false, err
		}
	}
	publishGrown(c, 5, services, 0, services[0])
	if err := c.startAll(); err != nil {
		return false, err
	}
	for i := range growSteps {
		added := 0
		if trouble {
			added = growStep * (i + 1)
		}
		publishGrown(c, 6+i, services, added, services[0])
		time.Sleep(growPause)
	}
	publishGrown(c, 30, services, growStep*growSteps*boolInt(trouble), services[1])
	time.Sleep(configApply + time.Second)
	stale := 0
	for i := range growRequests {
		m := c.machines[i%len(c.machines)]
		a := send(newClient(), m, http.MethodGet, growHost, "/ficha/1", 4*time.Second, nil)
		c.record.note("client at %s: %s", m.ip, a)
		if strings.HasPrefix(a.body, services[0]) {
			stale++
		}
	}
	for _, m := range c.machines {
		if line := logLine(m, "release-refused"); line != "" {
			c.record.note("log of the node of %s: %s", m.ip, line)
		}
	}
	c.record.note("%d of %d requests were run by the service of the older configuration, 3 s after the change was acknowledged", stale, growRequests)
	return stale > 0, nil
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// publishGrown writes a configuration in which the route /ficha/ goes to a service, with a number of
// further routes to the first service.
func publishGrown(c *cluster, version int, services []string, added int, service string) {
	routes := []string{fmt.Sprintf(`["look-up",%q,"/ficha/","safe","4000ms","250ms",2,null,2,%q]`, growHost, service)}
	for i := range added {
		routes = append(routes, fmt.Sprintf(`["r-%07d",%q,"/lepu%d/","safe","1000ms","250ms",2,null,2,%q]`, i, growHost, i, services[0]))
	}
	c.publish(version, services, routes...)
	c.record.note("configuration %d: /ficha/ goes to %s; %d further routes; %d bytes, of 1048576 that a value may have", version, service, added, c.store.size("op/config"))
}
