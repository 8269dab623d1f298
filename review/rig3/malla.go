package main

// grown are the places of a small part of the deployment caege-malla-grown, "service@zone" of each machine: five zones,
// all five servers of downloads, and some of the others.
var grown = []string{
	"deposito@z1", "guia@z1", "guia@z1", "padron@z1", "guia@z2", "guia@z2", "padron@z2", "deposito@z2",
	"guia@z3", "padron@z3", "deposito@z3", "guia@z4", "padron@z4", "deposito@z4", "deposito@z5",
}

// grownMemoryMB is the memory of most of its machines.
const grownMemoryMB = 112

func grownRoutes() []route {
	return []route{
		{"fichas", "fichas.example", "/f/", "safe", "3000ms", "600ms", 2, "guia", 2},
		{"cobro", "cobro.example", "/c/", "unsafe", "3000ms", "800ms", 1, "padron", 2},
		{"topos", "topos.example", "/t/", "download", "4000ms", "800ms", 2, "deposito", 2},
	}
}

// startGrown starts that part, with servers that take as long, and answers as large, as those of the pages.
func startGrown() (*cluster, error) {
	c, err := startCluster(options{memoryMB: grownMemoryMB, grace: "6s", slack: 170, linkMbps: 100}, grown...)
	if err != nil {
		return nil, err
	}
	for _, m := range c.machines {
		m.server.setSlots(16)
		switch m.service {
		case "guia":
			m.server.work.Store(240e6)
		case "padron":
			m.server.work.Store(310e6)
			m.server.size.Store(400)
		case "deposito":
			m.server.work.Store(190e6)
			m.server.size.Store(280_000)
			m.server.varies = true
		}
	}
	c.publish(3, "15000ms", grownRoutes())
	return c, c.start()
}
