package platform

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	yaml "go.yaml.in/yaml/v3"

	"github.com/dykewing/dykewing/api"
)

// Daemon describes a process for which a settings file was written.
type Daemon struct {
	Role          api.Role
	ID            api.NodeID
	File          string
	Address       string // internal protocol, health and metrics
	ClientAddress string // sidecars only
}

// settingsFile holds the settings of package config that the platform sets.
type settingsFile struct {
	Node            nodeSettings        `yaml:"node"`
	Peers           []string            `yaml:"peers"`
	Membership      map[string]string   `yaml:"membership"`
	KeyValueService map[string][]string `yaml:"key_value_service"`
	MachineList     map[string]string   `yaml:"machine_list"`
	Sidecar         map[string]string   `yaml:"sidecar,omitempty"`
	Store           *storeSettings      `yaml:"store,omitempty"`
}

type nodeSettings struct {
	ID          string `yaml:"id"`
	Address     string `yaml:"address"`
	Region      string `yaml:"region"`
	Zone        string `yaml:"zone"`
	StopTimeout string `yaml:"stop_timeout"`
}

type storeSettings struct {
	DataFolder string `yaml:"data_folder"`
	Replicas   int    `yaml:"replicas"`
}

const stopTimeout = 30 * time.Second

// writeSettings allocates ports and writes a settings file for each daemon.
func (p *Platform) writeSettings() error {
	if err := os.MkdirAll(p.options.Folder, 0o755); err != nil {
		return fmt.Errorf("make settings folder: %w", err)
	}
	var peers []string
	for _, part := range []struct {
		role  api.Role
		count int
	}{{api.RoleRouter, p.options.Routers}, {api.RoleStore, p.options.Stores}, {api.RoleSidecar, p.options.Sidecars}} {
		for i := range part.count {
			daemon, err := p.daemon(part.role, i)
			if err != nil {
				return err
			}
			if part.role == api.RoleRouter {
				peers = append(peers, daemon.Address)
			}
			p.Daemons = append(p.Daemons, daemon)
		}
	}
	for i, daemon := range p.Daemons {
		if err := p.writeFile(daemon, i, peers); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) daemon(role api.Role, number int) (Daemon, error) {
	id := fmt.Sprintf("%s-%d", role, number+1)
	daemon := Daemon{Role: role, ID: api.NodeID(id), File: filepath.Join(p.options.Folder, id+".yaml")}
	var err error
	if daemon.Address, err = p.freeAddress(); err != nil {
		return daemon, err
	}
	if role == api.RoleSidecar {
		daemon.ClientAddress, err = p.freeAddress()
	}
	return daemon, err
}

func (p *Platform) writeFile(daemon Daemon, number int, peers []string) error {
	location := p.location(number)
	file := settingsFile{
		Node: nodeSettings{
			ID: string(daemon.ID), Address: daemon.Address, Region: string(location.Region),
			Zone: string(location.Zone), StopTimeout: stopTimeout.String(),
		},
		Peers:           peers,
		Membership:      map[string]string{"interval": p.options.Heartbeat.String(), "suspect_timeout": p.options.SuspectTimeout.String()},
		KeyValueService: map[string][]string{"endpoints": {p.KeyValueURL}},
		MachineList:     map[string]string{"url": p.MachineListURL, "interval": p.options.Heartbeat.String()},
	}
	switch daemon.Role {
	case api.RoleSidecar:
		file.Sidecar = map[string]string{"address": daemon.ClientAddress}
	case api.RoleStore:
		folder := filepath.Join(p.options.Folder, string(daemon.ID)+"-data")
		file.Store = &storeSettings{DataFolder: folder, Replicas: min(p.options.Stores, 3)}
	}
	raw, err := yaml.Marshal(file)
	if err != nil {
		return fmt.Errorf("write settings of %s: %w", daemon.ID, err)
	}
	if err := os.WriteFile(daemon.File, raw, 0o644); err != nil {
		return fmt.Errorf("write settings of %s: %w", daemon.ID, err)
	}
	return nil
}

// Range of the daemons' ports. It is below the usual ephemeral range, so that no outgoing connection
// takes a port before its daemon starts.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freeAddress returns a loopback address that is not in use and was not allocated before.
func (p *Platform) freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + rand.IntN(lastPort-firstPort)
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		if p.allocated[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p.allocated[address] = true
		return address, listener.Close()
	}
	return "", errors.New("find a free port: none left")
}
