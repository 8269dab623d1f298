package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// minAdded is the number of requests on added routes from which the rule applies, and servedShare
	// the share of that on the first routes below which they must not be served.
	minAdded    = 20
	servedShare = 0.25
)

// addedConfig is a configuration with the version and with further rows of routes.
const addedConfig = `{"version":%d,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","maxAttempts"],` +
	`"rows":[["r-pages","pages.example","/pages/","safe","1000ms","250ms",2,"pages",2],["r-orders","pages.example","/orders/","unsafe","1200ms","300ms",1,"files",2]%s]},` +
	`"services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["files","/health",130,"h1",false],["pages","/health",130,"h1",false]]},` +
	`"limits":{"headerBytes":16384,"bodyBytes":67108864,"header":"3000ms","idle":"15000ms"}}`

// addedRoute is the route that the operator adds.
const addedRoute = `,["r-receipts","pages.example","/receipts/","unsafe","1200ms","300ms",1,"files",2]`

// fileName is a header of the answers on the added route: a file name in ISO 8859-1, which HTTP allows
// in a field value (obs-text), or in ASCII without the trouble.
func fileName() string {
	if trouble {
		return "Content-Disposition: attachment; filename=\"Gu\xeda-C\xe1mara.pdf\"\r\n"
	}
	return "Content-Disposition: attachment; filename=\"Guia-Camara.pdf\"\r\n"
}

func answerOrders(s *server, c net.Conn, r *http.Request) {
	if len(r.URL.Path) > len("/receipts/") && r.URL.Path[:len("/receipts/")] == "/receipts/" {
		s.answerShort(c, r, fileName())
		return
	}
	s.answerShort(c, r, "")
}

// runAdded has the operator add a route, and compares how often requests on it and on the first ones
// are served.
func runAdded(l *lab) (bool, error) {
	const requests = 60
	l.store.put("op/config", fmt.Sprintf(addedConfig, 7, ""))
	for range 4 {
		if err := l.add("files", answerOrders); err != nil {
			return false, err
		}
	}
	for range 6 {
		if err := l.add("pages", answerPages); err != nil {
			return false, err
		}
	}
	if err := l.awaitTouch(); err != nil {
		return false, err
	}
	l.store.put("op/config", fmt.Sprintf(addedConfig, 8, addedRoute))
	l.printf("the operator adds the route /receipts/ with version 8")
	time.Sleep(stableWindow)
	served := make(map[string]int)
	for i := range requests {
		v := l.vms[i%len(l.vms)]
		for _, q := range []struct{ method, path string }{{"GET", "/pages/"}, {"POST", "/orders/"}, {"POST", "/receipts/"}} {
			a := l.send(v, q.method, "pages.example", q.path+"1", fmt.Sprintf("%s-%d", q.path[1:4], i), clientDeadline)
			if a.whole {
				served[q.path]++
			}
		}
	}
	runs := int64(0)
	for _, v := range l.vms[:4] {
		runs += v.server.runs.Load()
	}
	first := float64(served["/pages/"]+served["/orders/"]) / (2 * requests)
	added := float64(served["/receipts/"]) / requests
	l.printf("served of %d requests on each route: /pages/ %d, /orders/ %d, /receipts/ (added) %d; the servers of files ran %d of %d",
		requests, served["/pages/"], served["/orders/"], served["/receipts/"], runs, 2*requests)
	return requests >= minAdded && added < servedShare*first, nil
}
