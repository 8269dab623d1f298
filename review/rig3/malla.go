package main

// malla are the places of the deployment caege-malla, "service@zone" of each machine.
var malla = []string{
	"deposito@z1", "guia@z1", "guia@z1", "padron@z1", "guia@z2", "guia@z2", "padron@z2", "deposito@z2",
	"guia@z3", "padron@z3", "deposito@z3", "guia@z4", "padron@z4", "deposito@z4",
}

// mallaMemoryMB is the memory of its machines.
const mallaMemoryMB = 134

func mallaRoutes() []route {
	return []route{
		{"fichas", "fichas.example", "/f/", "safe", "1000ms", "250ms", 2, "guia", 2},
		{"cobro", "cobro.example", "/c/", "unsafe", "1200ms", "300ms", 1, "padron", 2},
		{"topos", "topos.example", "/t/", "download", "1000ms", "250ms", 2, "deposito", 2},
	}
}

// startMalla starts that deployment, with servers that take as long, and answers as large, as those of the pages.
func startMalla() (*cluster, error) {
	c, err := startCluster(options{memoryMB: mallaMemoryMB, grace: "6s"}, malla...)
	if err != nil {
		return nil, err
	}
	for _, m := range c.machines {
		m.server.setSlots(13)
		switch m.service {
		case "guia":
			m.server.work.Store(73e6)
		case "padron":
			m.server.work.Store(95e6)
			m.server.size.Store(400)
		case "deposito":
			m.server.work.Store(59e6)
			m.server.size.Store(280_000)
			m.server.varies = true
		}
	}
	c.publish(3, "15000ms", mallaRoutes())
	return c, c.start()
}

// prod are the places of the deployment zaalwijzer-prod.
var prod = []string{
	"programma@a", "programma@b", "programma@c", "programma@a", "inschrijving@b", "inschrijving@c", "inschrijving@a",
	"documenten@a", "documenten@b", "documenten@c",
}

// prodMemoryMB is the memory of its machines.
const prodMemoryMB = 284

func prodRoutes() []route {
	return []route{
		{"sessions", "sessions.example", "/s/", "safe", "3000ms", "500ms", 2, "programma", 3},
		{"bookings", "bookings.example", "/b/", "unsafe", "4000ms", "600ms", 1, "inschrijving", 3},
		{"decks", "decks.example", "/d/", "download", "2500ms", "400ms", 2, "documenten", 3},
	}
}

// startProd starts that deployment, with servers that take as long as those of the pages.
func startProd() (*cluster, error) {
	c, err := startCluster(options{memoryMB: prodMemoryMB, grace: "6s"}, prod...)
	if err != nil {
		return nil, err
	}
	for _, m := range c.machines {
		m.server.setSlots(9)
		m.server.size.Store(5000)
		switch m.service {
		case "programma":
			m.server.work.Store(160e6)
		case "inschrijving":
			m.server.work.Store(210e6)
		case "documenten":
			m.server.work.Store(130e6)
			m.server.size.Store(90_000)
			m.server.varies = true
		}
	}
	c.publish(3, "15000ms", prodRoutes())
	return c, c.start()
}
