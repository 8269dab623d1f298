package main

import (
	"strings"
	"sync"
	"time"
)

func init() { scenarios["tokens"] = manyTokens }

const (
	// connectionFields is the number of fields "Connection:b", and tokenFields the number of fields "a:" beside them. Together
	// they stay inside the limit of 16384 bytes.
	connectionFields = 530
	tokenFields      = 1950
	// tokenConns is the number of connections of the crowd.
	tokenConns = 100
	// tokenStay is how long a connection of the crowd stays.
	tokenStay = 3 * time.Second
	// finalSlack is how long after the route's timeout the final answer may come.
	finalSlack = 500 * time.Millisecond
	// leastLate is the least number of requests without a final answer that breaks the rule.
	leastLate = 8
)

// manyTokens: a crowd at one machine sends requests that are legal in size but made of very many short fields of which some hundred are
// Connection.
func manyTokens(r *record, trouble bool) (int, error) {
	c, err := startProd()
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return 0, err
	}
	target, other := c.machines[0], c.machines[4]
	time.Sleep(4 * time.Second)
	stop, leave := make(chan struct{}), make(chan struct{})
	var clients, crowd sync.WaitGroup
	stopQuotas := make(chan struct{})
	var quotas sync.WaitGroup
	c.keepQuotas(stopQuotas, &quotas)
	atTarget, atOther := c.ordinaryClients(target, stop, &clients), c.ordinaryClients(other, stop, &clients)
	time.Sleep(3 * time.Second)
	began := time.Now()
	if trouble {
		r.printf("a crowd of %d connections comes to %s; each sends %d GET requests with %d short fields Connection and %d other short fields ahead, closes after %s and comes again",
			tokenConns, target.ip, sentAhead, connectionFields, tokenFields, tokenStay)
		fields := strings.Repeat("Connection:b\r\n", connectionFields) + strings.Repeat("a:\r\n", tokenFields)
		for range tokenConns {
			crowd.Go(func() { sendAhead(target, "sessions.example", "/s/1", fields, 3*time.Second, tokenStay, leave) })
		}
	}
	notReady := 0
	for time.Since(began) < crowdTime {
		time.Sleep(time.Second)
		if !target.ready() {
			notReady++
			r.printf("%s doesn't answer the platform's question for readiness with 200 within a second", target.ip)
		}
	}
	close(leave)
	crowd.Wait()
	r.printf("the crowd has left")
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	close(stopQuotas)
	quotas.Wait()
	late, none := r.judgeFinal("the clients of "+target.ip, atTarget)
	r.judgeFinal("the clients of "+other.ip+", where no crowd is", atOther)
	r.printf("%s: %d of the questions for readiness were not answered with 200", target.ip, notReady)
	if none >= leastLate && 4*none > late {
		return broken, nil
	}
	return held, nil
}

// ordinaryClients starts clients of a machine that keep their connections.
func (c *cluster) ordinaryClients(m *machine, stop chan struct{}, tasks *sync.WaitGroup) []*kept {
	var all []*kept
	for i := range 16 {
		k := &kept{addr: m.addr(callerPort), method: "GET", host: "sessions.example", path: "/s/1", deadline: 3 * time.Second, pause: 10 * time.Millisecond}
		if i%3 == 0 {
			k.method, k.host, k.path, k.body, k.deadline = "POST", "bookings.example", "/b/1", strings.Repeat("c", 1200), 4*time.Second
		}
		all = append(all, k)
		tasks.Go(func() { k.run("ordinary", stop) })
	}
	return all
}

// judgeFinal returns how many requests had no answer at the route's timeout, and how many of these had none finalSlack later.
func (r *record) judgeFinal(who string, clients []*kept) (late, none int) {
	sent, served := 0, 0
	for _, k := range clients {
		for _, a := range k.answers {
			sent++
			if a.status == 200 {
				served++
			}
			took := a.ended.Sub(a.sent)
			r.printf("%s sent at %.3f s to %s: %s%s, answered %d after %.3f s, error %v", a.id, a.sent.Sub(r.began).Seconds(), k.addr, k.host, k.path, a.status, took.Seconds(), a.err)
			if took < k.deadline {
				continue
			}
			late++
			if took >= k.deadline+finalSlack {
				none++
			}
		}
	}
	r.printf("%s: %d requests, %d served, %d without an answer at the timeout, %d of these without one %s later", who, sent, served, late, none, finalSlack)
	return late, none
}
