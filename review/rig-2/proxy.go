//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands for the path to a worker. While it is cut it holds back all bytes and ends of
// connections, in both directions, and takes no new connection further; afterwards it delivers them.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex    // guards open
	open  chan struct{} // closed while the path is open
}

func newProxy(at, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: make(chan struct{})}
	close(p.open)
	go p.accept()
	return p, nil
}

func (p *proxy) cut() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open = make(chan struct{})
}

func (p *proxy) heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.open)
}

// wait blocks while the path is cut.
func (p *proxy) wait() {
	p.mutex.Lock()
	open := p.open
	p.mutex.Unlock()
	<-open
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *proxy) serve(caller *net.TCPConn) {
	defer caller.Close()
	p.wait()
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = caller.SetLinger(0) // a dead port resets
		return
	}
	worker := conn.(*net.TCPConn)
	defer worker.Close()
	var copying sync.WaitGroup
	copying.Go(func() { p.copy(worker, caller) })
	copying.Go(func() { p.copy(caller, worker) })
	copying.Wait()
}

// copy passes on bytes, and the end of a direction as such, or as a reset if it was one.
func (p *proxy) copy(to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				_ = from.SetLinger(0)
				from.Close()
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			to.Close()
			return
		}
	}
}
