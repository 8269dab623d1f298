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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines of a cluster.
const (
	peerPort   = 7600
	callerPort = 8629
	readyPort  = 8625
	serverPort = 8628
)

// machine is a machine with its node and its backend server.
type machine struct {
	ip, service, zone string
	server            *server
	mu                sync.Mutex
	cmd               *exec.Cmd
	exited            chan struct{}
	starts            int
}

func (m *machine) addr(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// options are the settings of a cluster that differ between cases.
type options struct {
	memoryMB int
	grace    string
	slack    int
	linkMbps float64
	// peerAt returns where a node listens for its peers; nil means its own address.
	peerAt func(m *machine) string
}

// cluster is a deployment on loopback addresses.
type cluster struct {
	opts      options
	dir       string
	template  string
	store     *store
	storeAddr string
	machines  []*machine
	reserved  net.Listener
}

// startCluster starts a node and a server for each entry "service@zone" of places.
func startCluster(opts options, places ...string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/node.yaml")
	if err != nil {
		return nil, err
	}
	c := &cluster{opts: opts, dir: dir, template: string(template), store: newStore()}
	if c.storeAddr, err = c.store.serve(); err != nil {
		return nil, err
	}
	network := ""
	for n := 60; n < 100 && network == ""; n++ {
		prefix := fmt.Sprintf("127.%d.9.", n)
		if l, err := net.Listen("tcp", prefix+"250:7600"); err == nil {
			c.reserved, network = l, prefix
		}
	}
	if network == "" {
		return nil, errors.New("no free loopback network")
	}
	for i, place := range places {
		service, zone, _ := strings.Cut(place, "@")
		m := &machine{ip: fmt.Sprintf("%s%d", network, i+1), service: service, zone: zone}
		m.server = newServer(c, m, fmt.Sprintf("i-%d-%d", i+1, os.Getpid()))
		c.machines = append(c.machines, m)
	}
	return c, nil
}

// start starts the servers and the nodes, and waits until the nodes are ready.
func (c *cluster) start() error {
	for _, m := range c.machines {
		if err := m.server.start(); err != nil {
			return err
		}
	}
	for _, m := range c.machines {
		if err := c.startNode(m); err != nil {
			return err
		}
	}
	for _, m := range c.machines {
		if err := c.awaitReady(m, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

var (
	seedsSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	valueSection = regexp.MustCompile(`\{\{#(?:limits\.linkMbps|heartbeat)\}\}(.*)\{\{/[a-zA-Z.]+\}\}`)
	emptySection = regexp.MustCompile(`\{\{\^[a-zA-Z.]+\}\}.*\{\{/[a-zA-Z.]+\}\}`)
	placeholder  = regexp.MustCompile(`\{\{[^}]*\}\}`)
)

func (c *cluster) settingsFile(m *machine) string { return filepath.Join(c.dir, m.ip+".json") }

// writeSettings renders the deployment's template for a machine.
func (c *cluster) writeSettings(m *machine) error {
	var seeds []string
	for _, s := range c.machines[:min(3, len(c.machines))] {
		seeds = append(seeds, strconv.Quote(s.addr(peerPort)))
	}
	zones := make(map[string]bool)
	var regions []string
	for _, o := range c.machines {
		if !zones[o.zone] {
			zones[o.zone] = true
			regions = append(regions, fmt.Sprintf("%q: \"r\"", o.zone))
		}
	}
	peer := m.addr(peerPort)
	if c.opts.peerAt != nil {
		peer = c.opts.peerAt(m)
	}
	link := c.opts.linkMbps
	if link == 0 {
		link = 1000
	}
	values := map[string]string{
		"ip": m.ip, "service": m.service, "zone": m.zone, "region": "r", "zones|json": "{" + strings.Join(regions, ", ") + "}",
		"listen.control": peer, "listen.outbound": m.addr(callerPort), "listen.ready": m.addr(readyPort),
		"appAddr": m.addr(serverPort), "platform.address": c.storeAddr, "platform.readsPerS": "2000",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": strconv.Itoa(max(c.opts.slack, 62)), "bounds.budgetWindow": "10s",
		"bounds.grace": c.opts.grace, "bounds.configApply": "2000ms", "bounds.drain": "2000ms", "heartbeat": "1500ms",
		"limits.linkMbps": fmt.Sprint(link), "limits.memoryMb": strconv.Itoa(c.opts.memoryMB), "limits.maxFds": "4100",
	}
	text := seedsSection.ReplaceAllString(c.template, strings.Join(seeds, ","))
	text = valueSection.ReplaceAllString(text, "$1")
	text = emptySection.ReplaceAllString(text, "")
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
	return os.WriteFile(c.settingsFile(m), []byte(text), 0o600)
}

// startNode starts the node of a machine with the command of the deploy file.
func (c *cluster) startNode(m *machine) error {
	if err := c.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, "node-"+m.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(nodeProgram(), "--settings", c.settingsFile(m))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.starts++
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (m *machine) process() (*exec.Cmd, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd, m.exited
}

func (m *machine) signal(sig syscall.Signal) {
	if cmd, _ := m.process(); cmd != nil {
		_ = cmd.Process.Signal(sig)
	}
}

// kill ends the node of a machine and waits for its end.
func (m *machine) kill() {
	cmd, exited := m.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (m *machine) alive() bool {
	_, exited := m.process()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// memory returns a field of the status of the node's process, in bytes.
func (m *machine) memory(field string) int64 {
	cmd, _ := m.process()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kb int64
		if _, err := fmt.Sscanf(line, field+": %d kB", &kb); err == nil {
			return kb << 10
		}
	}
	return 0
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.addr(readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *cluster) awaitReady(m *machine, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.ready() {
			return nil
		}
	}
	return fmt.Errorf("node of %s is not ready", m.ip)
}

// stop ends all processes of the cluster.
func (c *cluster) stop() {
	for _, m := range c.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	for _, m := range c.machines {
		m.server.stop()
	}
	if c.reserved != nil {
		_ = c.reserved.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// route is a route of a configuration.
type route struct {
	name, host, prefix, kind, timeout, latency string
	priority                                   int
	service                                    string
	attempts                                   int
}

// publish writes a configuration and returns when the store acknowledged it.
func (c *cluster) publish(version int, idle string, routes []route) time.Time {
	services := make(map[string]bool)
	var rows, defs []string
	for _, r := range routes {
		rows = append(rows, fmt.Sprintf(`[%q,%q,%q,%q,%q,%q,%d,%q,%d]`, r.name, r.host, r.prefix, r.kind, r.timeout, r.latency, r.priority, r.service, r.attempts))
	}
	for _, m := range c.machines {
		if !services[m.service] {
			services[m.service] = true
			defs = append(defs, fmt.Sprintf(`[%q,450,"/health"]`, m.service))
		}
	}
	text := fmt.Sprintf(`{"version":%d,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency","priority","service","maxAttempts"],"rows":[%s]},"services":{"columns":["name","maxConns","healthPath"],"rows":[%s]},"limits":{"headerBytes":16384,"bodyBytes":1048576,"header":"3000ms","idle":%q}}`,
		version, strings.Join(rows, ","), strings.Join(defs, ","), idle)
	return c.store.put("op/config", []byte(text))
}

// nodeProgram returns the program of the deploy file's command.
func nodeProgram() string {
	if program := os.Getenv("NODE_PROGRAM"); program != "" {
		return program
	}
	return "target/auburnladder-node"
}
