package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of each VM.
const (
	peerPort   = 7600
	callerPort = 7601
	readyPort  = 7602
	serverPort = 7603
)

// stableWindow is how long a machine must be without disruption to be in touch.
const stableWindow = 3 * time.Second

// vm is a machine with its backend server and its node.
type vm struct {
	ip, service string
	server      *server
	node        *exec.Cmd
	ended       chan struct{}
}

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

func (v *vm) caller() string { return v.address(callerPort) }

// lab is a small deployment on loopback addresses, with real nodes and stand-ins for the rest.
type lab struct {
	*record
	dir, network, storeAddress string
	store                      *store
	vms                        []*vm
}

// newLab starts a store. It runs in the root of the repository.
func newLab(r *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-lab")
	if err != nil {
		return nil, err
	}
	l := &lab{record: r, dir: dir, store: newStore()}
	for n := 100; n < 200; n++ {
		l.network = fmt.Sprintf("127.%d.40.", n)
		// The open socket keeps other runs out of the network.
		listener, err := net.Listen("tcp", l.network+"250:7620")
		if err != nil {
			continue
		}
		l.storeAddress = listener.Addr().String()
		go func() { _ = http.Serve(listener, l.store) }()
		return l, nil
	}
	return nil, errors.New("no free loopback network")
}

// close ends the nodes that this lab started.
func (l *lab) close() {
	for _, v := range l.vms {
		if v.node != nil {
			_ = v.node.Process.Kill()
			<-v.ended
		}
	}
	_ = os.RemoveAll(l.dir)
}

// add starts a VM whose server answers with the given function.
func (l *lab) add(service string, answer func(s *server, c net.Conn, r *http.Request)) error {
	n := len(l.vms) + 1
	v := &vm{ip: fmt.Sprintf("%s%d", l.network, n), service: service}
	s := &server{record: l.record, service: service, id: fmt.Sprintf("i-%d", n), address: v.address(serverPort), born: time.Now().UnixMilli()}
	s.answer = func(c net.Conn, r *http.Request) { answer(s, c, r) }
	v.server = s
	l.vms = append(l.vms, v)
	if err := s.listen(); err != nil {
		return err
	}
	l.store.put("servers/"+s.id, fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"z","slots":13},"status":{"state":"ready","sequence":1,"coldLeft":"0ms"}}`,
		s.address, s.born, service))
	return l.startNode(v)
}

var (
	section     = regexp.MustCompile(`\{\{[#^]([a-zA-Z.]+)\}\}(.*?)\{\{/[a-zA-Z.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// settings fills in the template that the deploy file names, with the figures of a small deployment.
func (l *lab) settings(v *vm) (string, error) {
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return "", err
	}
	values := map[string]string{
		"ip": v.ip, "service": v.service, "zone": "z", "region": "r", "zones|json": `{"z": "r"}`,
		"limits.linkMbps": "1000", "limits.memoryMb": "134", "limits.maxFds": "4100",
		"listen.control": v.address(peerPort), "listen.outbound": v.caller(), "listen.ready": v.address(readyPort),
		"appAddr": v.server.address, "platform.address": l.storeAddress, "platform.readsPerS": "2000",
		"bounds.configApply": "2000ms", "bounds.drain": "2000ms", "heartbeat": "1500ms",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "62", "bounds.budgetWindow": "10s", "bounds.grace": "6s",
	}
	text := section.ReplaceAllStringFunc(string(template), func(s string) string {
		parts := section.FindStringSubmatch(s)
		switch {
		case strings.HasPrefix(s, "{{^"):
			return ""
		case parts[1] == "seeds":
			return `"` + l.vms[0].address(peerPort) + `"`
		default:
			return parts[2]
		}
	})
	return placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] }), nil
}

// startNode starts the node of a VM with the command of the deploy file.
func (l *lab) startNode(v *vm) error {
	text, err := l.settings(v)
	if err != nil {
		return err
	}
	file := filepath.Join(l.dir, v.ip+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(l.dir, v.ip+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	v.node = exec.Command("target/auburnladder-node", "--settings", file)
	v.node.Stdout, v.node.Stderr = log, log
	if err := v.node.Start(); err != nil {
		v.node = nil
		return err
	}
	v.ended = make(chan struct{})
	go func() {
		_ = v.node.Wait()
		close(v.ended)
	}()
	return nil
}

// signal sends a signal to the node of a VM.
func (l *lab) signal(v *vm, sig syscall.Signal) {
	l.printf("node of %s gets the signal %q", v.ip, sig)
	_ = v.node.Process.Signal(sig)
}

// awaitTouch waits until all nodes are ready and have been so for stableWindow.
func (l *lab) awaitTouch() error {
	client := http.Client{Timeout: time.Second}
	end := time.Now().Add(20 * time.Second)
	for _, v := range l.vms {
		for !isReady(&client, v) {
			if time.Now().After(end) {
				return fmt.Errorf("node of %s is not ready", v.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	l.printf("all %d nodes are ready", len(l.vms))
	time.Sleep(stableWindow + time.Second)
	return nil
}

func isReady(client *http.Client, v *vm) bool {
	resp, err := client.Get("http://" + v.address(readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
