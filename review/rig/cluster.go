package main

import (
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

// Ports of every machine, on loopback addresses of its own.
const (
	peerPort   = 8620
	readyPort  = 8625
	serverPort = 8628
	callerPort = 8629
	storePort  = 8627
)

// Limits of a small deployment, as the users' pages show them.
const (
	graceText  = "6s"
	bodyBytes  = 64 << 20
	memoryMB   = 134
	zone       = "zona-mza"
	region     = "cordillera"
	startLimit = 20 * time.Second
)

// machine is one machine with its server and its node.
type machine struct {
	ip     string
	server *backend
	node   *exec.Cmd
	exited chan struct{}
	log    *os.File
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// cluster is a small deployment: a store, and machines with a server and a node each.
type cluster struct {
	root, dir string
	network   string
	guard     net.Listener
	store     *store
	machines  []*machine
	record    *recorder
}

// newCluster reserves a loopback network and starts the store. root is the top of the repository.
func newCluster(root string, record *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{root: root, dir: dir, store: newStore(), record: record}
	for n := 20; n < 250; n++ {
		network := fmt.Sprintf("127.%d.9.", n)
		if c.guard, err = net.Listen("tcp", network+"250:8699"); err == nil {
			c.network = network
			break
		}
	}
	if c.guard == nil {
		return c, fmt.Errorf("no free loopback network: %w", err)
	}
	l, err := net.Listen("tcp", c.storeAddress())
	if err != nil {
		return c, err
	}
	go func() { _ = http.Serve(l, c.store) }()
	return c, nil
}

func (c *cluster) storeAddress() string { return fmt.Sprintf("%s249:%d", c.network, storePort) }

// add adds a machine with a server of a service, starts the server and writes its entry.
func (c *cluster) add(service string, configure func(*backend)) (*machine, error) {
	n := len(c.machines) + 1
	m := &machine{ip: fmt.Sprintf("%s%d", c.network, n)}
	m.server = &backend{
		service: service, instance: fmt.Sprintf("i-%04d", n), zone: zone, addr: m.address(serverPort),
		born: time.Now().UnixMilli(), slots: 13, work: 20 * time.Millisecond, record: c.record,
	}
	if configure != nil {
		configure(m.server)
	}
	c.machines = append(c.machines, m)
	if err := m.server.serve(); err != nil {
		return m, err
	}
	c.store.put("servers/"+m.server.instance, m.server.entry())
	return m, nil
}

// beat writes the entries of all servers again, as they do every heartbeat, until the process ends.
func (c *cluster) beat() {
	for range time.Tick(1500 * time.Millisecond) {
		for _, m := range c.machines {
			c.store.put("servers/"+m.server.instance, m.server.entry())
		}
	}
}

// publish writes a configuration. routes are the rows of the table of routes.
func (c *cluster) publish(version int, services []string, routes ...string) {
	var rows []string
	for _, s := range services {
		rows = append(rows, fmt.Sprintf(`[%q,"/health",130,"h1",false]`, s))
	}
	c.store.put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":{"columns":["name","host","prefix","kind","timeout","targetLatency",`+
		`"priority","trafficSplit","maxAttempts","service"],"rows":[%s]},"services":{"columns":["name","healthPath","maxConns","protocol","tls"],`+
		`"rows":[%s]},"limits":{"headerBytes":16384,"bodyBytes":%d,"header":"3000ms","idle":"15000ms"}}`,
		version, strings.Join(routes, ","), strings.Join(rows, ","), bodyBytes))
}

var (
	seedsSection = regexp.MustCompile(`\{\{#seeds\}\}.*\{\{/seeds\}\}`)
	valueSection = regexp.MustCompile(`\{\{#[a-zA-Z.]+\}\}(.*)\{\{/[a-zA-Z.]+\}\}`)
	placeholder  = regexp.MustCompile(`\{\{[^}]*\}\}`)
)

// writeSettings fills in the template of the deploy file for a machine and returns the file's path.
func (c *cluster) writeSettings(m *machine) (string, error) {
	template, err := os.ReadFile(filepath.Join(c.root, "deploy/node.yaml"))
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, other := range c.machines[:min(3, len(c.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.address(peerPort)))
	}
	text := seedsSection.ReplaceAllString(string(template), strings.Join(seeds, ","))
	text = valueSection.ReplaceAllString(text, "$1")
	values := map[string]string{
		"ip": m.ip, "service": m.server.service, "zone": zone, "region": region, "zones|json": fmt.Sprintf(`{%q: %q}`, zone, region),
		"listen.control": m.address(peerPort), "listen.outbound": m.address(callerPort), "listen.ready": m.address(readyPort),
		"appAddr": m.server.addr, "platform.address": c.storeAddress(), "platform.readsPerS": "2000",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "62", "bounds.budgetWindow": "10s", "bounds.grace": graceText,
		"bounds.configApply": "2000ms", "bounds.drain": "2000ms", "limits.linkMbps": "1000.0", "heartbeat": "1500ms",
	}
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string { return values[strings.Trim(p, "{}")] })
	path := filepath.Join(c.dir, m.ip+".yaml")
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// startNode starts the node of a machine with the command of the deploy file.
func (c *cluster) startNode(m *machine) error {
	settings, err := c.writeSettings(m)
	if err != nil {
		return err
	}
	if m.log == nil {
		if m.log, err = os.Create(filepath.Join(c.dir, "node-"+m.ip+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(filepath.Join(c.root, "target/auburnladder-node"), "--settings", settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.root, m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.node, m.exited = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.exited)
	return nil
}

// startAll starts all nodes and waits until they are ready, and for a calm span after that.
func (c *cluster) startAll() error {
	for _, m := range c.machines {
		if err := c.startNode(m); err != nil {
			return err
		}
	}
	go c.beat()
	for _, m := range c.machines {
		if err := c.awaitReady(m); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// awaitReady waits until a node answers the platform's readiness question with 200.
func (c *cluster) awaitReady(m *machine) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + m.address(readyPort) + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("node at %s is not ready in time", m.ip)
}

// kill kills the node of a machine and waits for its end.
func (m *machine) kill() {
	_ = m.node.Process.Kill()
	<-m.exited
}

// ended reports whether the node's process has ended.
func (m *machine) ended() bool {
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// stop ends all nodes and removes the temporary folder, or keeps it if KEEP is set.
func (c *cluster) stop() {
	for _, m := range c.machines {
		if m.node != nil {
			m.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// lastLine returns the last line that the node of a machine has logged.
func lastLine(m *machine) string {
	data, err := os.ReadFile(m.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return lines[len(lines)-1]
}

// logLine returns the last line of the log of a machine's node that contains a text, "" if there is
// none.
func logLine(m *machine, text string) string {
	data, err := os.ReadFile(m.log.Name())
	if err != nil {
		return ""
	}
	last := ""
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			last = strings.TrimSpace(line)
		}
	}
	return last
}
