package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// uploadConfig is a configuration of two services with one route each.
const uploadConfig = `{"version":7,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","maxAttempts"],` +
	`"rows":[["r-uploads","uploads.example","/uploads/","unsafe","1000ms","300ms",1,"uploads",2],["r-pages","pages.example","/pages/","safe","1000ms","250ms",2,"pages",2]]},` +
	`"services":{"columns":["name","healthPath","maxConns","protocol","tls"],"rows":[["uploads","/health",130,"h1",false],["pages","/health",130,"h1",false]]},` +
	`"limits":{"headerBytes":16384,"bodyBytes":67108864,"header":"3000ms","idle":"15000ms"}}`

// runUploads has clients at three machines send bodies to the only server of a service, beside which the
// node is suspended for freezeTime.
func runUploads(l *lab) (bool, error) {
	const requests, bodyBytes, every, freezeTime = 400, 250_000, 5 * time.Millisecond, 5 * time.Second
	l.store.put("op/config", uploadConfig)
	if err := l.add("uploads", answerPages); err != nil {
		return false, err
	}
	for range 9 {
		if err := l.add("pages", answerPages); err != nil {
			return false, err
		}
	}
	if err := l.awaitTouch(); err != nil {
		return false, err
	}
	body := make([]byte, bodyBytes)
	var clients sync.WaitGroup
	for i := range 3 {
		l.sendBody(l.vms[1+i], "POST", "uploads.example", "/uploads/1", fmt.Sprintf("first%d", i), clientDeadline, body)
	}
	if trouble {
		l.signal(l.vms[0], syscall.SIGSTOP)
		clients.Go(func() {
			time.Sleep(freezeTime)
			l.signal(l.vms[0], syscall.SIGCONT)
		})
	}
	answers := make([]answer, requests)
	for i := range answers {
		clients.Go(func() {
			answers[i] = l.sendBody(l.vms[1+i%3], "POST", "uploads.example", "/uploads/1", fmt.Sprintf("u%d", i), clientDeadline, body)
		})
		time.Sleep(every)
	}
	clients.Wait()
	return l.checkTimeouts(answers), nil
}
